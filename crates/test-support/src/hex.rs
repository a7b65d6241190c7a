//! Bytes as hexadecimal text.

/// Two lower-case digits for each byte.
pub fn encode(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// The bytes of hexadecimal text, in which blanks may stand anywhere.
///
/// # Panics
/// On any other character, and on an odd number of digits.
pub fn decode(text: &str) -> Vec<u8> {
    let digit = |c: char| {
        c.to_digit(16)
            .unwrap_or_else(|| panic!("'{c}' is no digit"))
    };
    let digits: Vec<u32> = text
        .chars()
        .filter(|c| !c.is_ascii_whitespace())
        .map(digit)
        .collect();
    assert!(digits.len().is_multiple_of(2), "half a byte is left over");
    digits
        .chunks(2)
        .map(|pair| (pair[0] << 4 | pair[1]) as u8)
        .collect()
}
