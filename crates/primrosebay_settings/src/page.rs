//! Generates the page `docs/settings.md`.

use crate::options::PREFIX;
use crate::settings::Settings;

const HEADER: &str = "# Settings

Generated from `crates/primrosebay_settings`; `UPDATE_DOCS=1 cargo test -p primrosebay_settings --test page` writes it again.

Options are written in YAML, such as

```yaml
instance: { name: entry-a1, zone: a, region: north }
addresses: { log: 10.0.0.2:7000, list: 10.0.0.3:7000 }
limits:
  body_bytes: 1048576
```

An option that is unknown, missing or out of its range stops the start; the message names all of them with what is expected. An environment variable replaces the option in the last column; its value is YAML.
";

const MEMBER: &str = "
## Limits of a member

`primrosebay member` reads the settings file that the platform writes. These fields and defaults bound what the clients of a process can use up; `docs/design/http-limits.md` gives the reasons.

| field | meaning | allowed | default |
| --- | --- | --- | --- |
| `limits.memoryMb` | Memory of the machine, in MB; another value is error PB706. | 32 to 1048576 | 160 |

| default | meaning | value |
| --- | --- | --- |
| budget for unfinished requests | Bytes that requests hold on all servers of the process together. | an eighth of `limits.memoryMb` (20 MB) |
| head | Longest head with the empty lines before it; most headers. | 8191 bytes; 128 |
| body | Longest body of a submission. | `limits.maxBodyBytes` of the configuration (262144 bytes) |
| steps | Most steps that are decoded of a job. | 4000, the tasks of the largest job |
| trailers | Longest trailers after a chunked body. | 8192 bytes |
| head time | Time in which a head must arrive after its first byte. | 10 s |
| body time | Time in which a body must arrive after its head. | 10 s |
| idle time | Time after which a connection without a request is closed. | 60 s |
| body after the answer | Bytes that are read after an answer before the end of the body. | 1 MiB |
| connections of callers | Open connections; further ones are closed. | half of the descriptors, at most 4096 |
| connections of probes, of instances | Open connections; further ones are closed. | 256, 4096 |
";

/// Returns the page `docs/settings.md` in Markdown, with one table for each group of options.
#[must_use]
pub fn page() -> String {
    let mut page = HEADER.to_owned();
    let mut current = "";
    for field in Settings::fields() {
        let (group, _) = field.path.split_once('.').unwrap_or((field.path, ""));
        if group != current {
            current = group;
            page += "\n## `";
            page += group;
            page += "`\n\n| option | meaning | allowed | default | variable |\n| --- | --- | --- | --- | --- |\n";
        }
        let default = field.default.unwrap_or_else(|| "must be set".to_owned());
        let variable = field.path.to_ascii_uppercase().replace('.', "__");
        let row = [field.doc, &field.expected, &default].join(" | ");
        let variable = format!("`{PREFIX}{variable}`");
        page += &["| `", field.path, "` | ", &row, " | ", &variable, " |\n"].concat();
    }
    page += MEMBER;
    page
}
