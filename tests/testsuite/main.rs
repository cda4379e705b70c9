//! Holds the integration tests, a module per topic.

mod claims;
mod config;
mod decoders;
mod experiments;
mod flows;
mod flows_reports;
mod flows_scenarios;
mod flows_schedules;
mod flows_world;
mod metrics;
mod platform_edits;
mod platform_history;
mod processes;
mod processes_requests;
mod processes_world;
mod report;
mod requests_history;
mod requests_scenarios;
mod settings;
mod settings_distribution;
mod settings_edits;
