//! Checks that the objects and settings of the example deployments are valid.

use std::{
    path::{Path, PathBuf},
    process::Command,
};

use deck_testkit::{check_settings, program_path};

fn example_files(extension: &str) -> Vec<PathBuf> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    let mut folders = vec![root];
    let mut files = Vec::new();
    while let Some(folder) = folders.pop() {
        for entry in std::fs::read_dir(folder).expect("examples").flatten() {
            let path = entry.path();
            if path.is_dir() {
                folders.push(path);
            } else if path.extension().is_some_and(|file_extension| file_extension == extension) {
                files.push(path);
            }
        }
    }
    assert!(!files.is_empty(), "no example files with extension {extension}");
    files
}

/// Guards against example files that `deckctl check` rejects.
#[test]
fn objects_and_settings_pass_check() {
    let output = Command::new(program_path("deckctl"))
        .arg("check")
        .args(example_files("json"))
        .args(example_files("ini"))
        .output()
        .expect("program runs");
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
}

/// Guards against example settings that a daemon rejects at start.
#[test]
fn settings_are_valid() {
    for file in example_files("ini") {
        let name = file.file_stem().and_then(|stem| stem.to_str()).expect("program name");
        let text = std::fs::read_to_string(&file).expect("example");
        let (code, message) = check_settings(name, &text);
        assert_eq!(code, Some(0), "{}: {message}", file.display());
    }
}
