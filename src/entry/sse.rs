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

    /// Sends a keep-alive comment; an error means that the caller disconnected.
    pub(super) fn comment(&mut self) -> io::Result<()> {
        self.body.write_all(b": waiting\n\n")?;
        self.flush()
    }

    /// Flushes the chunk encoder, then the connection's write buffer.
    fn flush(&mut self) -> io::Result<()> {
        self.body.flush()?;
        self.body.get_mut().flush()
    }
}

/// A connection's writer that flushes on drop. The encoder writes the final
/// chunk when it is dropped, and a caller that keeps its connection open would
/// otherwise never receive it.
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
        // The final chunk is of no use to a disconnected caller.
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
