//! Server-sent events, each flushed on its own.
//!
//! A chunked `tiny_http` response buffers bytes and would delay the first token.
//! So `tiny_http` writes only the response head; the events go through the
//! request's writer, one flushed chunk each.

use std::io;
use std::io::Write;

use chunked_transfer::Encoder;
use serde_json::Value;
use tiny_http::HTTPVersion;
use tiny_http::Header;
use tiny_http::Request;
use tiny_http::Response;
use tiny_http::StatusCode;

use crate::id::RequestId;

/// Maximum size of a chunk that is not flushed yet.
const CHUNK_BYTES: usize = 64 * 1024;

/// An event stream to one caller. Dropping it ends the chunked body.
pub(super) struct Events {
    body: Encoder<FlushingWriter>,
}

impl Events {
    /// Sends the response head.
    pub(super) fn start(req: Request, request: RequestId) -> io::Result<Events> {
        let version = req.http_version().clone();
        let mut writer = req.into_writer();
        head(request).raw_print(&mut writer, version, &[], true, None)?;
        writer.flush()?;
        Ok(Events {
            body: Encoder::with_chunks_size(FlushingWriter(writer), CHUNK_BYTES),
        })
    }

    /// Returns whether a caller's HTTP version supports chunked transfer encoding.
    pub(super) fn supported(version: &HTTPVersion) -> bool {
        *version >= (1, 1)
    }

    pub(super) fn data(&mut self, value: &Value) -> io::Result<()> {
        write!(self.body, "data: {value}\n\n")?;
        self.flush()
    }

    pub(super) fn error(&mut self, value: &Value) -> io::Result<()> {
        write!(self.body, "event: error\ndata: {value}\n\n")?;
        self.flush()
    }

    pub(super) fn done(&mut self) -> io::Result<()> {
        self.body.write_all(b"data: [DONE]\n\n")?;
        self.flush()
    }

    /// Sends a comment, which shows whether the caller is still there.
    pub(super) fn comment(&mut self) -> io::Result<()> {
        self.body.write_all(b": waiting\n\n")?;
        self.flush()
    }

    /// Flushes the chunk, and then the connection's own buffer.
    fn flush(&mut self) -> io::Result<()> {
        self.body.flush()?;
        self.body.get_mut().flush()
    }
}

/// A connection's writer that is flushed when it is dropped: the encoder writes
/// the last chunk when it goes, and a caller that keeps its connection open
/// would otherwise wait for it.
struct FlushingWriter(Box<dyn Write + Send>);

impl Write for FlushingWriter {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.0.write(buf)
    }

    fn flush(&mut self) -> io::Result<()> {
        self.0.flush()
    }
}

impl Drop for FlushingWriter {
    fn drop(&mut self) {
        // A caller that is gone needs no last chunk.
        let _ = self.0.flush();
    }
}

fn head(request: RequestId) -> Response<io::Empty> {
    let headers = [
        ("Content-Type", "text/event-stream".to_owned()),
        ("Cache-Control", "no-store".to_owned()),
        ("X-Request-Id", request.to_string()),
    ];
    let headers = headers
        .into_iter()
        .filter_map(|(name, value)| Header::from_bytes(name, value).ok())
        .collect();
    Response::new(StatusCode(200), headers, io::empty(), None, None)
}
