//! Runs short soaks with fixed seeds; `zinniadrift-soak` runs longer ones.

use std::time::Duration;

use zinniadrift_stand_ins::{SoakSettings, run_soak};

use crate::processes_testbed::program;

macro_rules! soaks {
    ($($name:ident: seed $seed:literal, number $number:literal;)*) => {
        $(
            /// Guards against violations of the platform's documented guarantees under external
            /// faults.
            #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
            async fn $name() {
                let cfg = SoakSettings {
                    program: program("zinniadrift-edge"),
                    seed: $seed,
                    fault_duration: Duration::from_secs(8),
                    balancers: 4,
                    targets: 5,
                    callers: 2,
                };
                let report = run_soak(&cfg, $number).await.unwrap();
                let violations = &report.summary.violations;
                let logs = &report.logs;
                assert!(violations.is_empty(), "{violations:#?} {logs:?} {:#?}", report.faults);
                assert!(report.summary.answered > 0);
            }
        )*
    };
}

soaks! {
    soak_seed_1: seed 1, number 14;
    soak_seed_2: seed 2, number 15;
}
