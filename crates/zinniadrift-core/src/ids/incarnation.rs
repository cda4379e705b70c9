use crate::number::number_newtype;

number_newtype! {
    /// Tells one run of a daemon from an earlier run under the same name.
    ///
    /// The runtime uses the start time in microseconds since the Unix epoch.
    Incarnation(u64)
}
