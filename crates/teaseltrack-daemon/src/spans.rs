//! Trace spans, one for each hop of a request, linked by `traceparent`.
//!
//! Spans are exported to the logs. With tracing disabled, a caller's `traceparent` is forwarded
//! unchanged.

use std::{collections::HashMap, fmt, time::SystemTime};

use opentelemetry::{
    Context, KeyValue,
    propagation::TextMapPropagator,
    trace::{TraceContextExt, Tracer, TracerProvider},
};
use opentelemetry_sdk::{
    error::OTelSdkResult,
    propagation::TraceContextPropagator,
    trace::{Sampler, SdkTracer, SdkTracerProvider, SpanData, SpanExporter},
};
use serde::{Deserialize, Serialize};
use slog::{Logger, info};

const TRACEPARENT: &str = "traceparent";

/// Trace settings.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TraceSettings {
    /// Whether spans are recorded and exported.
    pub is_enabled: bool,
    /// Fraction of requests sampled if the caller made no sampling decision, 0 to 1.
    pub sampled_ratio: f64,
}

impl Default for TraceSettings {
    fn default() -> Self {
        Self { is_enabled: false, sampled_ratio: 0.01 }
    }
}

/// Creates spans; cheap to clone.
#[derive(Clone)]
pub struct Spans {
    tracer: Option<SdkTracer>,
    provider: Option<SdkTracerProvider>,
}

impl fmt::Debug for Spans {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Spans").field("is_enabled", &self.tracer.is_some()).finish()
    }
}

impl Spans {
    /// Creates a source of spans that exports to `logger` if tracing is enabled.
    pub fn new(settings: TraceSettings, logger: Logger) -> Self {
        if !settings.is_enabled {
            return Self { tracer: None, provider: None };
        }
        let sampler = Sampler::TraceIdRatioBased(settings.sampled_ratio);
        let provider = SdkTracerProvider::builder()
            .with_sampler(Sampler::ParentBased(Box::new(sampler)))
            .with_batch_exporter(LogExporter { logger })
            .build();
        Self { tracer: Some(provider.tracer("teaseltrack")), provider: Some(provider) }
    }

    /// Starts the span of a hop as a child of the caller's span.
    pub fn start(&self, name: &'static str, traceparent: Option<&str>) -> HopSpan {
        let Some(tracer) = &self.tracer else {
            return HopSpan { context: None, traceparent: traceparent.map(str::to_owned) };
        };
        let propagator = TraceContextPropagator::new();
        let carrier: HashMap<String, String> = traceparent
            .map(|value| (TRACEPARENT.to_owned(), value.to_owned()))
            .into_iter()
            .collect();
        let parent = propagator.extract_with_context(&Context::new(), &carrier);
        let context = parent.with_span(tracer.start_with_context(name, &parent));
        let mut carrier = HashMap::new();
        propagator.inject_context(&context, &mut carrier);
        HopSpan { context: Some(context), traceparent: carrier.remove(TRACEPARENT) }
    }

    /// Exports all buffered spans.
    pub fn flush(&self) {
        if let Some(provider) = &self.provider {
            drop(provider.force_flush());
        }
    }
}

/// Span of one hop; ended on drop.
#[derive(Debug)]
pub struct HopSpan {
    context: Option<Context>,
    traceparent: Option<String>,
}

impl HopSpan {
    /// Value of `traceparent` to send to the next hop.
    pub fn traceparent(&self) -> Option<&str> {
        self.traceparent.as_deref()
    }

    /// Sets an attribute of the span.
    pub fn set(&self, key: &'static str, value: impl Into<opentelemetry::Value>) {
        if let Some(context) = &self.context {
            context.span().set_attribute(KeyValue::new(key, value));
        }
    }
}

impl Drop for HopSpan {
    fn drop(&mut self) {
        if let Some(context) = &self.context {
            context.span().end();
        }
    }
}

#[derive(Debug)]
struct LogExporter {
    logger: Logger,
}

impl SpanExporter for LogExporter {
    async fn export(&self, batch: Vec<SpanData>) -> OTelSdkResult {
        for span in batch {
            let elapsed = span.end_time.duration_since(span.start_time).unwrap_or_default();
            let start_us = span
                .start_time
                .duration_since(SystemTime::UNIX_EPOCH)
                .map_or(0, |since| since.as_micros() as u64);
            let attributes: Vec<String> =
                span.attributes.iter().map(|pair| format!("{}={}", pair.key, pair.value)).collect();
            info!(self.logger, "span";
                "name" => span.name.as_ref(),
                "trace_id" => span.span_context.trace_id().to_string(),
                "span_id" => span.span_context.span_id().to_string(),
                "parent_span_id" => span.parent_span_id.to_string(),
                "start_us" => start_us,
                "elapsed_us" => elapsed.as_micros() as u64,
                "attributes" => attributes.join(" "));
        }
        Ok(())
    }
}
