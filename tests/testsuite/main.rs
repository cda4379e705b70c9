//! Holds the integration tests, a module per topic.

mod decoders;
mod flows;
mod flows_scenarios;
mod flows_world;
mod metrics;
mod processes;
mod processes_requests;
mod processes_world;
mod report;
mod settings;
