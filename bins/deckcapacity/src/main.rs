//! Measures how processor time and memory of each daemon grow with its load, and fits straight
//! lines to the measured points.

mod deployment;
mod process;
mod sweep;

use std::{
    collections::BTreeMap,
    path::{Path, PathBuf},
    process::ExitCode,
};

use bpaf::Bpaf;
use deckcapacity::{fit::Line, plot, point::Point};
use deckdemo::error::DemoError;

/// Measures how the cost of each role grows with its load.
#[derive(Debug, Clone)]
#[derive(Bpaf)]
#[bpaf(options, version)]
enum Command {
    /// Runs separate processes at several sizes and prints the points.
    #[bpaf(command, footer("Example: deckcapacity sweep --directory /tmp/capacity"))]
    Sweep {
        /// Directory for logs and settings
        #[bpaf(long("directory"), argument("DIR"))]
        directory: PathBuf,
        /// Time for which each size is measured, in milliseconds
        #[bpaf(long("duration-ms"), argument("MS"), fallback(10_000))]
        duration_ms: u64,
    },
    /// Fits a line to each sweep of the files and draws the plots.
    #[bpaf(command, footer("Example: deckcapacity fit --svg docs/capacity points.txt"))]
    Fit {
        /// Directory for the plots
        #[bpaf(long("svg"), argument("DIR"), optional)]
        svg: Option<PathBuf>,
        /// Files with points, or with the output of the peer_scale example
        #[bpaf(positional("FILE"), some("name at least one file"))]
        files: Vec<PathBuf>,
    },
}

fn main() -> ExitCode {
    let result = match command().run() {
        Command::Sweep { directory, duration_ms } => sweep::run(&directory, duration_ms),
        Command::Fit { svg, files } => fit(&files, svg.as_deref()),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("deckcapacity: {error}");
            ExitCode::FAILURE
        }
    }
}

fn fit(files: &[PathBuf], svg: Option<&Path>) -> Result<(), DemoError> {
    let mut sweeps: BTreeMap<String, Vec<Point>> = BTreeMap::new();
    for file in files {
        let text = std::fs::read_to_string(file)?;
        let points = text.lines().filter_map(Point::parse).chain(Point::parse_peer_scale(&text));
        for point in points {
            sweeps.entry(point.sweep.clone()).or_default().push(point);
        }
    }
    for (sweep, points) in &sweeps {
        let line = Line::fit(points);
        print_line(sweep, points, line);
        if let (Some(directory), Some(_)) = (svg, line) {
            std::fs::create_dir_all(directory)?;
            let plot = plot::svg(points, line)
                .map_err(|message| DemoError::Program("plot".to_owned(), message))?;
            std::fs::write(directory.join(format!("{sweep}.svg")), plot)?;
        }
    }
    Ok(())
}

fn print_line(sweep: &str, points: &[Point], line: Option<Line>) {
    let Some(first) = points.first() else { return };
    let (x_unit, y_unit) = (&first.x_unit, &first.y_unit);
    match line {
        Some(line) => println!(
            "fit {sweep}: slope {:.6} {y_unit} per {x_unit}, intercept {:.4} {y_unit}, \
             residual {:.4} {y_unit}, {} points",
            line.slope,
            line.intercept,
            line.residual_rms,
            points.len(),
        ),
        None => println!("fit {sweep}: {} points, too few for a line", points.len()),
    }
}
