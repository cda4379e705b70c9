use crate::number::number_newtype;

number_newtype! {
    /// The incarnation number of a daemon, which distinguishes its run from earlier runs under the
    /// same name.
    ///
    /// The runtime uses the start time in microseconds since the Unix epoch.
    Incarnation(u64)
}
