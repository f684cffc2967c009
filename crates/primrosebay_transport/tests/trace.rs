//! Propagation of the trace context between processes.

use primrosebay_transport::trace::{Span, Tracing};

const PARENT: &str = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";

/// Guards against a process that starts a new trace instead of continuing the caller's, and against
/// one without a tracer provider that drops the trace context.
#[test]
fn context_is_propagated() {
    let untraced = Span::start("entry", PARENT);
    assert_eq!(untraced.context(), PARENT);
    untraced.close();

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
