//! The integration tests, one module per topic.

// A panic in `unwrap` fails the test, which is intended.
#![allow(clippy::unwrap_used)]

mod claims;
mod config;
mod decoders;
mod docs;
mod edge_decoders;
mod edge_entries;
mod edge_faults;
mod edge_processes;
mod edge_soak;
mod edge_store;
mod edge_zone_drains;
mod experiments;
mod flows;
mod flows_reports;
mod flows_scenarios;
mod flows_schedules;
mod flows_unknown_service;
mod flows_world;
mod json_text;
mod membership;
mod metrics;
mod overload;
mod peer_codec;
mod peer_values;
mod platform_edits;
mod platform_history;
mod processes;
mod processes_requests;
mod processes_testbed;
mod report;
mod requests_hedging;
mod requests_history;
mod requests_scenarios;
mod settings;
mod settings_distribution;
mod settings_edits;
mod steering;
