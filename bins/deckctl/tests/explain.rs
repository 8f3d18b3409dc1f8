//! Tests of `deckctl explain` with logs of several nodes.

use std::{
    path::PathBuf,
    process::{Command, Stdio},
};

use deck_testkit::program_path;

/// Writes a temporary log file and returns its path.
fn log_file(text: &str) -> PathBuf {
    let name = format!("explain-{}.log", deck_core::id::random_id());
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, text).expect("log file is written");
    path
}

/// Runs `deckctl explain`; returns its exit code and its standard output and error.
fn explain(id: &str, files: &[&PathBuf]) -> (Option<i32>, String) {
    let output = Command::new(program_path("deckctl")).arg("explain").arg(id).args(files).output();
    let output = output.expect("deckctl starts");
    let text = [output.stdout, output.stderr].concat();
    (output.status.code(), String::from_utf8_lossy(&text).into_owned())
}

/// Guards against output in file order instead of time order, and against lines without a node
/// name.
#[test]
fn lines_of_several_nodes_are_sorted_by_time() {
    let first = log_file(
        "2026-12-04T05:00:02.5Z [INFO] node: start vm=edge-1 data_centre=a\n\
         2026-12-04T05:00:03.5Z [WARN] fleet: object API lost kind=servers error=status 503\n\
         2026-12-04T05:00:04Z [INFO] fleet: object API is back kind=servers\n\
         2026-12-04T05:00:04.25Z [INFO] batch: job taken over job=j from=edge-0\n",
    );
    let second = log_file(
        "no line of a log\n\
         2026-12-04T05:00:01Z [INFO] node: start vm=edge-0 data_centre=a\n\
         2026-12-04T05:00:03.125Z [INFO] batch: job accepted job=j items=1 step=0 model=m \
         min_version=2\n",
    );
    let (code, text) = explain("j", &[&first, &second]);
    assert_eq!(code, Some(0), "{text}");
    assert!(text.contains("- edge-1 took the job over, as edge-0 was silent."), "{text}");
    let outage = "did not answer 1 of these 2 nodes, from 0.4 s after the first line until 0.9 s.";
    assert!(text.contains(outage), "{text}");
    let accepted = text.find("edge-0 batch: job accepted").expect("accepted");
    assert!(accepted < text.find("edge-1 batch: job taken over").expect("taken over"), "{text}");
    assert_eq!(explain("other", &[&first, &second]).0, Some(3));
    for file in [first, second] {
        std::fs::remove_file(file).expect("temporary file is removed");
    }
}

/// Guards against a job of an organisation that operators do not find by the id that its caller knows.
#[test]
fn job_of_an_organisation_is_found_by_the_id_of_its_caller() {
    let log = log_file(
        "2026-12-04T05:00:01Z [INFO] batch: job accepted job=0123456789abcdef~j \
         organisation=\"a\" items=1 step=0 model=m min_version=2\n\
         2026-12-04T05:00:02Z [INFO] batch: job taken over job=0123456789abcdef~j from=edge-0\n",
    );
    for id in ["j", "0123456789abcdef~j"] {
        let (code, text) = explain(id, &[&log]);
        assert_eq!(code, Some(0), "{text}");
        assert!(text.contains("took the job over, as edge-0 was silent."), "{text}");
    }
    assert_eq!(explain("0123456789abcdef", &[&log]).0, Some(3));
    std::fs::remove_file(log).expect("temporary file is removed");
}

/// Guards against attributing an item's text to another job that contains the same item. The lines
/// have the prefix of a log collector: elapsed seconds and the node name.
#[test]
fn repeated_item_is_attributed_to_its_own_job() {
    let line = |seconds: u32, text: &str| {
        format!("  {seconds}.0 edge-a 2026-12-04T05:00:{seconds:02}Z [INFO] batch: {text}\n")
    };
    let log = [
        line(1, "job accepted job=one items=1 step=0 model=m min_version=1"),
        line(1, "run starts item=i job=one target=t event=0"),
        line(2, "run complete item=i target=t event=20 ms=1000"),
        line(3, "job accepted job=two items=1 step=1 model=m min_version=2"),
        line(5, "run starts item=i job=two target=t event=0 version=v1"),
        line(11, "run complete item=i target=t event=90 ms=6000"),
    ];
    let file = log_file(&log.concat());
    let (_, one) = explain("one", &[&file]);
    assert!(one.contains("Nothing in these logs went wrong."), "{one}");
    let (_, two) = explain("two", &[&file]);
    assert!(two.contains("waited up to 2.0 s for an engine with version 2 or newer"), "{two}");
    assert!(two.contains("item i: 90 events in 6.0 s"), "{two}");
    assert!(two.contains("edge-a batch: job accepted"), "{two}");
    std::fs::remove_file(file).expect("temporary file is removed");
}

/// Guards against a refusal reported without its reason, and against printing a cause once per line
/// instead of once with a count.
#[test]
fn refusals_are_explained_and_counted() {
    let line = |text: &str| format!("2026-12-04T05:00:01Z {text}\n");
    let refused = line(
        "[WARN] front: refused request=r configuration=7 known_ms=90 error=unknown_pool: no route for host and path",
    );
    let job = line("[WARN] batch: job refused job=j error=object API unavailable: status 503");
    let crash = line(
        "[INFO] forward: target crashed request=p target=t crashes_alone=1 crashes_in_company=1",
    );
    let file = log_file(&[refused, job.repeat(3), crash].concat());
    let (code, text) = explain("r", &[&file]);
    assert_eq!(code, Some(0), "{text}");
    let reason =
        "refused the request by configuration 7: unknown_pool: no route for host and path.";
    assert!(text.contains(reason), "{text}");
    let (_, text) = explain("j", &[&file]);
    assert!(text.contains("status 503 (3 times)."), "{text}");
    assert_eq!(text.matches("nothing of it runs").count(), 1, "{text}");
    let (_, text) = explain("p", &[&file]);
    assert!(text.contains("Target t crashed while it ran the request."), "{text}");
    std::fs::remove_file(file).expect("temporary file is removed");
}

/// Guards against an error exit when the reader closes the output pipe early, as `head` does.
#[test]
fn closed_output_pipe_is_not_an_error() {
    let line = "2026-12-04T05:00:01Z [WARN] batch: job refused job=j error=status 503\n";
    let file = log_file(&line.repeat(20_000));
    let mut command = Command::new(program_path("deckctl"));
    let command = command.arg("explain").arg("j").arg(&file);
    let child = command.stdout(Stdio::piped()).stderr(Stdio::piped()).spawn();
    let mut child = child.expect("deckctl starts");
    drop(child.stdout.take());
    let output = child.wait_with_output().expect("deckctl exits");
    assert!(output.status.success(), "{:?}", output.status);
    assert_eq!(String::from_utf8_lossy(&output.stderr), "");
    std::fs::remove_file(file).expect("temporary file is removed");
}
