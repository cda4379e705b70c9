//! Holds the integration tests of the workspace; the tests live in `testsuite/`.
