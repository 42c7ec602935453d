use harestage_benchlink::frame::{HEADER, Malformed, body_len, malformed, read_batch};
use harestage_benchlink::host::Host;
use std::io::{self, BufReader, ErrorKind, Read, Write};
use std::process::ExitCode;

enum Stop {
    Malformed(Malformed),
    Io(io::Error),
}

fn main() -> ExitCode {
    // A panic of the decision code goes to the bench as FAULT; its usual print would say it twice.
    std::panic::set_hook(Box::new(|_| {}));
    match serve(BufReader::with_capacity(1 << 20, io::stdin().lock()), io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(Stop::Malformed(m)) => {
            eprintln!("harestage-benchlink: {m}");
            ExitCode::from(2)
        }
        Err(Stop::Io(e)) => {
            eprintln!("harestage-benchlink: {e}");
            ExitCode::FAILURE
        }
    }
}

fn serve(mut input: impl Read, mut output: impl Write) -> Result<(), Stop> {
    let mut host = Host::default();
    let mut body = Vec::new();
    loop {
        let mut header = [0; HEADER];
        match read_up_to(&mut input, &mut header).map_err(Stop::Io)? {
            0 => return Ok(()),
            HEADER => {}
            got => return malformed("frame header is cut off", got).map_err(Stop::Malformed),
        }
        let wanted = body_len(&header);
        body.clear();
        let got = input.by_ref().take(wanted as u64).read_to_end(&mut body).map_err(Stop::Io)?;
        if got < wanted {
            return malformed(format!("frame of {wanted} bytes is cut off"), HEADER + got)
                .map_err(Stop::Malformed);
        }
        let reply =
            read_batch(&header, &body).and_then(|batch| host.play(&batch)).map_err(Stop::Malformed)?;
        output.write_all(&reply.frame()).and_then(|()| output.flush()).map_err(Stop::Io)?;
    }
}

/// Like `read_exact`, but tells how much there was before the input ended.
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
