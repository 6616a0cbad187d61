//! Command lines for a POSIX shell.

/// Returns the command line that a shell splits into `arguments`. Arguments without special characters are left as they
/// are, so that most commands stay easy to read.
pub(crate) fn join(arguments: &[&str]) -> String {
    let quoted: Vec<String> = arguments.iter().map(|argument| quote(argument)).collect();
    quoted.join(" ")
}

fn quote(argument: &str) -> String {
    let is_plain = |c: char| c.is_ascii_alphanumeric() || "-_./:@%+,".contains(c);
    if !argument.is_empty() && argument.chars().all(is_plain) {
        return argument.to_owned();
    }
    // Nothing is special between single quotes except a single quote.
    format!("'{}'", argument.replace('\'', r"'\''"))
}
