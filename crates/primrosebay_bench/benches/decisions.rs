//! Time of one scheduling round after one task has ended, by the number of workers.

use criterion::{BenchmarkId, Criterion};
use primrosebay_bench::cell::{design_size, new_scheduler};
use primrosebay_bench::figures::Churn;

fn main() {
    let mut criterion = Criterion::default().sample_size(20).configure_from_args();
    let mut group = criterion.benchmark_group("decision");
    for workers in [48, 1_000, 10_000] {
        let mut churn = Churn::new(new_scheduler(), design_size(workers));
        group.bench_function(BenchmarkId::from_parameter(workers), |b| {
            b.iter(|| churn.step(1));
        });
    }
    group.finish();
    criterion.final_summary();
}
