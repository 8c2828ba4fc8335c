//! Hexadecimal digits in the text forms of digests and tickets.

/// Parses exactly two digits, in either case, for each byte.
pub(crate) fn parse_bytes<const N: usize>(text: &str) -> Option<[u8; N]> {
    if text.len() != 2 * N || !is_hex(text) {
        return None;
    }
    let mut bytes = [0; N];
    for (i, byte) in bytes.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * i..2 * i + 2], 16).ok()?;
    }
    Some(bytes)
}

/// Parses a number of at least one digit.
pub(crate) fn parse_number(text: &str) -> Option<u64> {
    u64::from_str_radix(text, 16).ok().filter(|_| is_hex(text))
}

/// Whether there are only digits. The number parsers of the standard library also take a sign.
fn is_hex(text: &str) -> bool {
    text.bytes().all(|byte| byte.is_ascii_hexdigit())
}
