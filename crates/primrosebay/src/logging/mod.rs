//! Sets up logging: to standard output for `member`, to standard error for `serve`, `dev` and
//! `stand-in`.

mod non_blocking;

use logforth::layout::{JsonLayout, TextLayout};
use logforth::record::{Level, LevelFilter};

/// Starts logging JSON lines to standard output without blocking the threads that log.
pub fn start_structured() {
    let appender = non_blocking::NonBlockingStdout::start(JsonLayout::default());
    logforth::starter_log::builder()
        .dispatch(|d| {
            d.filter(LevelFilter::MoreSevereEqual(Level::Info))
                .append(appender)
        })
        .apply();
}

/// Starts logging to standard error as text, or as JSON if `json` is set. `RUST_LOG` selects the
/// level; without it, records of level info and above are logged.
pub fn start(json: bool) {
    if std::env::var_os("RUST_LOG").is_none() {
        // Without a filter, the logger writes errors only.
        logforth::starter_log::builder()
            .dispatch(|d| {
                let d = d.filter(logforth::record::LevelFilter::MoreSevereEqual(
                    logforth::record::Level::Info,
                ));
                if json {
                    d.append(logforth::append::Stderr::default().with_layout(JsonLayout::default()))
                } else {
                    d.append(
                        logforth::append::Stderr::default()
                            .with_layout(TextLayout::default().no_color()),
                    )
                }
            })
            .apply();
    } else if json {
        logforth::starter_log::stderr()
            .layout(JsonLayout::default())
            .apply();
    } else {
        logforth::starter_log::stderr()
            .layout(TextLayout::default().no_color())
            .apply();
    }
}
