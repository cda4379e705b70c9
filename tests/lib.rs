//! The integration tests of the workspace; their source is in `testsuite/`.
