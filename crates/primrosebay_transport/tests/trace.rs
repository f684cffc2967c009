//! Trace context between processes.

use primrosebay_transport::trace::{Span, Tracing};

const PARENT: &str = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";

/// Guards against a hop that starts a trace of its own, or that drops the context because it does
/// not trace itself.
#[test]
fn context_is_handed_on() {
    let silent = Span::start("entry", PARENT);
    assert_eq!(silent.context(), PARENT);
    silent.close();

    let tracing = Tracing::start(0.0);
    let entry = Span::start("entry", PARENT);
    let worker = Span::start("worker", &entry.context());
    for span in [&entry, &worker] {
        assert_eq!(span.context()[..35], PARENT[..35]);
        assert_ne!(span.context(), PARENT);
    }
    assert_ne!(entry.context(), worker.context());
    assert!(
        Span::start("entry", "not a context")
            .context()
            .ends_with("-00")
    );
    tracing.close();
}
