/// Returns the resident memory of this process in bytes, or zero if it cannot be read.
pub(crate) fn resident_bytes() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let kibibytes = line.and_then(|l| l.split_whitespace().next()?.parse::<u64>().ok());
    kibibytes.unwrap_or(0) * 1_024
}
