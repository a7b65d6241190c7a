//! Hexadecimal encoding and decoding of bytes.

/// Encodes bytes as two lower-case digits each.
pub fn encode(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Decodes hexadecimal text. ASCII whitespace is ignored.
///
/// # Panics
/// If there is any other character, or the number of digits is odd.
pub fn decode(text: &str) -> Vec<u8> {
    let digit = |c: char| {
        c.to_digit(16)
            .unwrap_or_else(|| panic!("expected a hexadecimal digit, found '{c}'"))
    };
    let digits: Vec<u32> = text
        .chars()
        .filter(|c| !c.is_ascii_whitespace())
        .map(digit)
        .collect();
    assert!(
        digits.len().is_multiple_of(2),
        "expected an even number of hexadecimal digits"
    );
    digits
        .chunks(2)
        .map(|pair| (pair[0] << 4 | pair[1]) as u8)
        .collect()
}
