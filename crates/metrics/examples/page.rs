//! Prints the reference page of the metrics.

fn main() {
    print!("{}", peppercove_metrics::reference_page());
}
