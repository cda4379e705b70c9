//! Opens flows through the balancers and prints the results as JSON.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use pico_args::Arguments;

use zinniadrift_lab::doubles::{CallerSettings, run_flows};

use super::{ANSWER_PORT, block_on, finish};
use crate::lab_error::LabError;

const DEFAULT_FLOWS: u16 = 100;
const DEFAULT_ROUNDS: u32 = 10;
const DEFAULT_INTERVAL_MS: u64 = 100;

pub(crate) fn execute(mut args: Arguments) -> Result<(), LabError> {
    let balancers: String = args.value_from_str("--balancers")?;
    let address: Option<Ipv4Addr> = args.opt_value_from_str("--address")?;
    let flows: Option<u16> = args.opt_value_from_str("--flows")?;
    let rounds: Option<u32> = args.opt_value_from_str("--rounds")?;
    let interval: Option<u64> = args.opt_value_from_str("--interval-ms")?;
    let seed: Option<u64> = args.opt_value_from_str("--seed")?;
    let cfg = CallerSettings {
        address: address.unwrap_or(Ipv4Addr::new(127, 9, 0, 1)),
        answer_port: ANSWER_PORT,
        service: args.value_from_str("--service")?,
        balancers: parse_list(&balancers)?,
        flows: flows.unwrap_or(DEFAULT_FLOWS),
        rounds: rounds.unwrap_or(DEFAULT_ROUNDS),
        round_interval: Duration::from_millis(interval.unwrap_or(DEFAULT_INTERVAL_MS)),
        seed: seed.unwrap_or(1),
    };
    finish(args)?;
    block_on(async {
        let report = run_flows(&cfg).await?;
        let text = serde_json::to_string(&report).unwrap_or_default();
        println!("{text}");
        if report.broken + report.silent > 0 {
            return Err(LabError::Failed {
                text: "some flows did not survive".into(),
            });
        }
        Ok(())
    })
}

fn parse_list(text: &str) -> Result<Vec<SocketAddr>, LabError> {
    let parsed: Result<Vec<_>, _> = text.split(',').map(str::parse).collect();
    parsed.map_err(|_| LabError::Usage {
        text: format!("--balancers: {text} is not a list of IP:PORT").into(),
    })
}
