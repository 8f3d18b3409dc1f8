//! Measurement of the routing and admission decisions in virtual time.
//!
//! `cargo run --release -p deck-route --example route_bench [-- SEED [PART]]` prints one line for
//! each figure: name, value, unit, baseline, ratio, bound and the source of the bound. PART is
//! `jonotuoli`, `vitosha`, `design` or `costs`; without it all are printed. The model of the targets
//! is small on purpose; it measures the decisions, not a cluster.

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
    let part = std::env::args().nth(2);
    let is_wanted = |name: &str| part.as_ref().is_none_or(|part| part == name);
    for size in figures::SIZES.iter().filter(|size| is_wanted(size.name)) {
        figures::head_of_line(size, seed);
        figures::slowed_targets(size, seed);
        // At the design size a run takes long, and admission works alike at all sizes.
        if size.name != "design" {
            figures::overload(size, seed);
            figures::shares(size, seed);
            figures::hedging(size, seed);
        }
    }
    if is_wanted("costs") {
        figures::retries();
        figures::pick_cost();
        figures::refusal_cost();
        figures::report_size();
    }
}
