//! Plays the scripts of the second review.

mod holder_case;
mod http;
mod json;
mod node;
mod part_case;
mod record;
mod replica;
mod stop_case;
mod store;

use std::path::PathBuf;
use std::process::ExitCode;

use record::Record;

/// How a case ended.
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun,
}

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(file)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: cases CASE RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let Ok(record) = Record::create(&PathBuf::from(file)) else {
        return ExitCode::from(2);
    };
    let scratch = std::env::temp_dir().join(format!("croftrill-review-2-{}", std::process::id()));
    if std::fs::create_dir_all(&scratch).is_err() {
        return ExitCode::from(2);
    }
    let played = match case.as_str() {
        "part" => part_case::play(&scratch, &record, has_trouble),
        "holder" => holder_case::play(&scratch, &record, has_trouble),
        "stop" => stop_case::play(&scratch, &record, has_trouble),
        _ => Err(std::io::ErrorKind::NotFound.into()),
    };
    if std::env::var("KEEP_LOGS").is_err() {
        let _ = std::fs::remove_dir_all(&scratch);
    }
    match played {
        Ok(Verdict::Held) => ExitCode::SUCCESS,
        Ok(Verdict::Broken) => ExitCode::from(1),
        Ok(Verdict::CouldNotRun) => ExitCode::from(2),
        Err(error) => {
            record.say(&format!("could not run: {error}"));
            ExitCode::from(2)
        }
    }
}
