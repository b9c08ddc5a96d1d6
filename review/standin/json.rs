//! Minimal JSON: splits an object into its fields without decoding their values.

/// Fields of a JSON object, with their values as raw text.
pub fn fields(text: &str) -> Vec<(String, String)> {
    let bytes = text.as_bytes();
    let (mut depth, mut in_string, mut escaped) = (0, false, false);
    let (mut out, mut start, mut key) = (Vec::new(), 0, None);
    for (i, &b) in bytes.iter().enumerate() {
        if in_string {
            if escaped {
                escaped = false;
            } else if b == b'\\' {
                escaped = true;
            } else if b == b'"' {
                in_string = false;
            }
            continue;
        }
        match b {
            b'"' => in_string = true,
            b'{' | b'[' => {
                depth += 1;
                if depth == 1 {
                    start = i + 1;
                }
            }
            b':' if depth == 1 && key.is_none() => {
                key = Some(text[start..i].trim().trim_matches('"').to_owned());
                start = i + 1;
            }
            b'}' | b']' | b',' => {
                if depth == 1
                    && let Some(key) = key.take()
                {
                    out.push((key, text[start..i].trim().to_owned()));
                    start = i + 1;
                }
                if b != b',' {
                    depth -= 1;
                }
            }
            _ => {}
        }
    }
    out
}

/// Raw value of a field.
pub fn field(text: &str, name: &str) -> Option<String> {
    fields(text).into_iter().find(|it| it.0 == name).map(|it| it.1)
}

/// Value of a field that is a string.
pub fn string(text: &str, name: &str) -> Option<String> {
    field(text, name).map(|it| it.trim_matches('"').to_owned())
}
