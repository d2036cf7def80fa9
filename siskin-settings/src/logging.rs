//! Log lines as `key=value` pairs on standard error.

use {
    log::kv::{Error, Key, Value, VisitSource},
    std::io::Write,
};

/// Starts logging. `level` is one of `error`, `warn`, `info`, `debug`, `trace`, or a filter such as
/// `info,siskin_sched=debug`. A second call has no effect.
pub fn start(level: &str) {
    let mut builder = env_logger::Builder::new();
    builder.parse_filters(level).format(|out, record| {
        let mut line = Vec::new();
        write!(
            line,
            "time={} level={} target={} msg={:?}",
            out.timestamp_millis(),
            record.level().as_str().to_ascii_lowercase(),
            record.target(),
            record.args().to_string(),
        )?;
        // Writing into a vector cannot fail.
        let _ = record.key_values().visit(&mut Pairs(&mut line));
        line.push(b'\n');
        out.write_all(&line)
    });
    let _ = builder.try_init();
}

struct Pairs<'a>(&'a mut Vec<u8>);

impl<'kvs> VisitSource<'kvs> for Pairs<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let text = value.to_string();
        let written = if text.contains([' ', '"', '=', '\n']) {
            write!(self.0, " {key}={text:?}")
        } else {
            write!(self.0, " {key}={text}")
        };
        written.map_err(Error::from)
    }
}
