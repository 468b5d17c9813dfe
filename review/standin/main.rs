//! The stand-ins and scenarios of the cases that are scripts: `standin CASE FOLDER`.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod crash_case;
mod drain_case;
mod engines;
mod fleet;
mod gone_case;
mod herd_case;
mod http;
mod json;
mod lost_case;
mod one_case;
mod record;
mod replica;
mod roll_case;
mod store;

use std::path::{Path, PathBuf};
use std::process::exit;
use std::thread;
use std::time::Duration;

use record::Record;

/// Longest time for a case.
const LIMIT: Duration = Duration::from_secs(110);

/// What a case finds.
pub enum Verdict {
    Held,
    Broken,
}

/// What a case needs of its surroundings.
pub struct Stage {
    pub root: PathBuf,
    pub record: Record,
    /// Whether the disruption takes place.
    pub trouble: bool,
}

fn main() {
    let words: Vec<String> = std::env::args().collect();
    let (Some(case), Some(file)) = (words.get(1), words.get(2)) else { exit(2) };
    let Ok(record) = Record::append(Path::new(file)) else { exit(2) };
    let root = std::env::current_dir().unwrap_or_default();
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let stage = Stage { root, record, trouble };
    thread::spawn(|| {
        thread::sleep(LIMIT);
        fleet::end_all();
        exit(2);
    });
    let verdict = match case.as_str() {
        "crash" => crash_case::play(&stage),
        "drain" => drain_case::play(&stage),
        "gone" => gone_case::play(&stage),
        "one" => one_case::play(&stage),
        "herd" => herd_case::play(&stage),
        "roll" => roll_case::play(&stage),
        "lost" => lost_case::play(&stage),
        _ => None,
    };
    exit(match verdict {
        Some(Verdict::Held) => 0,
        Some(Verdict::Broken) => 1,
        None => {
            stage.record.say("the case could not run");
            2
        }
    })
}
