//! Parser of alert rules, one per line: `name: metric > number for duration notify who, who`.

use ids::Millis;
use smol_str::SmolStr;

use crate::model::{AlertRule, Comparison};

/// Format of a rule, shown in error messages.
pub(crate) const RULE_FORMAT: &str = "name: metric > number for duration notify who[, who]";

/// Parses a rule; the error names the part that is missing or invalid.
pub(crate) fn parse(text: &str) -> Result<AlertRule, String> {
    let invalid = |part: &str| format!("{part} in \"{RULE_FORMAT}\"");
    let (name, rest) = text.split_once(':').ok_or_else(|| invalid("a colon"))?;
    let (condition, notify) = rest
        .split_once(" notify ")
        .ok_or_else(|| invalid("notify"))?;
    let words: Vec<_> = condition.split_whitespace().collect();
    let [metric, comparison, threshold, "for", duration] = words[..] else {
        return Err(invalid("a condition with five words"));
    };
    let comparison = match comparison {
        ">" => Comparison::Above,
        "<" => Comparison::Below,
        _ => return Err(invalid("> or <")),
    };
    let threshold = threshold
        .parse()
        .ok()
        .filter(|number: &f64| number.is_finite());
    let receivers: Vec<_> = notify
        .split([',', ' ', '\t'])
        .filter(|receiver| !receiver.is_empty())
        .map(SmolStr::new)
        .collect();
    if !is_alert_name(name) {
        return Err(invalid("an alert name"));
    }
    if !is_metric_name(metric) {
        return Err(invalid("a metric name"));
    }
    if receivers.is_empty() || !receivers.iter().all(|receiver| is_receiver(receiver)) {
        return Err(invalid("who is notified"));
    }
    Ok(AlertRule {
        text: SmolStr::new(text),
        name: SmolStr::new(name),
        metric: SmolStr::new(metric),
        comparison,
        threshold: threshold.ok_or_else(|| invalid("a number"))?,
        hold_ms: parse_duration(duration).ok_or_else(|| invalid("a duration"))?,
        receivers,
    })
}

/// Parses a duration; besides the usual units, alert rules may use `m` for minutes and `h` for
/// hours.
fn parse_duration(text: &str) -> Option<Millis> {
    let minutes = |digits: &str, factor: u64| {
        let count = digits.parse::<u64>().ok()?;
        Some(Millis(count.checked_mul(factor)?.checked_mul(60_000)?))
    };
    if let Some(digits) = text.strip_suffix('m') {
        return minutes(digits, 1);
    }
    if let Some(digits) = text.strip_suffix('h') {
        return minutes(digits, 60);
    }
    text.parse().ok()
}

fn is_alert_name(text: &str) -> bool {
    let is_valid = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_');
    !text.is_empty() && text.bytes().all(is_valid)
}

/// Returns whether a text is a valid Prometheus metric name.
fn is_metric_name(text: &str) -> bool {
    let is_valid = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'_' | b':');
    !text.starts_with(|first: char| first.is_ascii_digit())
        && !text.is_empty()
        && text.bytes().all(is_valid)
}

fn is_receiver(text: &str) -> bool {
    let is_valid = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.@+".contains(&byte);
    text.bytes().all(is_valid)
}
