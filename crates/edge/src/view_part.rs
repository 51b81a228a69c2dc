//! Encoding of items in parts of a view, which peers send to each other.
//!
//! Daemons that do not know epochs read and write the same encoding, without epochs and numbers of
//! reports.

use steer::{Change, Revision, Update};
use wire::steering::ViewPart;

/// Encodes items into a part.
pub fn encode(part: ViewPart, updates: &[&Update]) -> postcard::Result<ViewPart> {
    Ok(ViewPart {
        updates: postcard::to_allocvec(updates)?,
        report_numbers: updates.iter().copied().map(report_number).collect(),
        ..part
    })
}

/// Returns the revision up to which the view is complete after a part. If the peer tells no epoch,
/// its revisions are taken to be of `known_epoch`.
pub fn revision(part: &ViewPart, known_epoch: u64) -> Revision {
    let epoch = match part.epoch {
        0 => known_epoch,
        epoch => epoch,
    };
    Revision {
        epoch,
        number: part.revision,
    }
}

/// Decodes the items of a part, whose revisions are of `epoch`.
///
/// # Errors
/// Fails if the bytes are not encoded items.
pub fn decode(part: &ViewPart, epoch: u64) -> postcard::Result<Vec<Update>> {
    if part.updates.is_empty() {
        return Ok(Vec::new());
    }
    let mut updates: Vec<Update> = postcard::from_bytes(&part.updates)?;
    let numbers = part.report_numbers.iter().chain(std::iter::repeat(&0));
    for (update, number) in updates.iter_mut().zip(numbers) {
        update.revision.epoch = epoch;
        if let Change::Target(target) = &mut update.change {
            target.sequence = *number;
        }
    }
    Ok(updates)
}

fn report_number(update: &Update) -> u64 {
    match &update.change {
        Change::Target(target) => target.sequence,
        _ => 0,
    }
}
