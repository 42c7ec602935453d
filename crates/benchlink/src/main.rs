//! Serves the simulator over standard input and output.
use harestage_benchlink::frame::{FrameError, HEADER_LEN, body_len, frame_error, read_batch};
use harestage_benchlink::host::Host;
use std::io::{self, BufReader, ErrorKind, Read, Write};
use std::process::ExitCode;

/// Why serving has stopped before the input ended.
enum Stop {
    Frame(FrameError),
    Io(io::Error),
}

fn main() -> ExitCode {
    // A panic of the decision module is reported to the simulator as FAULT; printing it would report it twice.
    std::panic::set_hook(Box::new(|_| {}));
    match serve(BufReader::with_capacity(1 << 20, io::stdin().lock()), io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(Stop::Frame(error)) => {
            eprintln!("harestage-benchlink: {error}");
            ExitCode::from(2)
        }
        Err(Stop::Io(error)) => {
            eprintln!("harestage-benchlink: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Answers frames until the input ends.
fn serve(mut input: impl Read, mut output: impl Write) -> Result<(), Stop> {
    let mut host = Host::default();
    let mut body = Vec::new();
    loop {
        let mut header = [0; HEADER_LEN];
        match read_up_to(&mut input, &mut header).map_err(Stop::Io)? {
            0 => return Ok(()),
            HEADER_LEN => {}
            got => return frame_error("frame header is cut off", got).map_err(Stop::Frame),
        }
        let wanted = body_len(&header);
        body.clear();
        let got = input.by_ref().take(wanted as u64).read_to_end(&mut body).map_err(Stop::Io)?;
        if got < wanted {
            return frame_error(format!("frame of {wanted} bytes is cut off"), HEADER_LEN + got)
                .map_err(Stop::Frame);
        }
        let reply =
            read_batch(&header, &body).and_then(|batch| host.handle_batch(&batch)).map_err(Stop::Frame)?;
        output.write_all(&reply.frame()).and_then(|()| output.flush()).map_err(Stop::Io)?;
    }
}

/// Like `read_exact`, but gives the number of bytes that were read if the input ends early.
fn read_up_to(input: &mut impl Read, buf: &mut [u8]) -> io::Result<usize> {
    let mut got = 0;
    while got < buf.len() {
        match input.read(&mut buf[got..]) {
            Ok(0) => break,
            Ok(n) => got += n,
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
    Ok(got)
}
