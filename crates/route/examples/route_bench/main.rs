//! Benchmark of routing and admission decisions in virtual time.
//!
//! `cargo run --release -p deck-route --example route_bench [-- SEED [PART]]` prints one line for
//! each figure: name, value, unit, baseline, ratio and bound. PART is `jonotuoli`, `vitosha`,
//! `design` or `costs`; without it all parts run. The simulated targets are deliberately simple:
//! the benchmark compares routing policies and does not predict the performance of a cluster.

mod figures;
mod model;
mod policy;

fn main() {
    let seed = std::env::args().nth(1).map_or(Ok(1), |text| text.parse());
    let Ok(seed) = seed else {
        eprintln!("usage: route_bench [SEED [PART]]; SEED is a whole number");
        std::process::exit(2);
    };
    println!("seed {seed}");
    println!("name | value | unit | baseline | ratio | bound");
    let selected_part = std::env::args().nth(2);
    let is_wanted = |name: &str| selected_part.as_ref().is_none_or(|part| part == name);
    for deployment in figures::DEPLOYMENTS.iter().filter(|deployment| is_wanted(deployment.name)) {
        figures::head_of_line(deployment, seed);
        figures::slowed_targets(deployment, seed);
        // A run of the largest deployment takes long, and admission does not depend on its size.
        if deployment.name != "design" {
            figures::overload(deployment, seed);
            figures::shares(deployment, seed);
            figures::hedging(deployment, seed);
        }
    }
    if is_wanted("costs") {
        figures::retries();
        figures::pick_cost();
        figures::refusal_cost();
        figures::report_size();
    }
}
