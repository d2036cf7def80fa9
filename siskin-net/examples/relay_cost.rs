//! Prints the processor time that a router takes for a request on a new connection that it relays, and for one that it answers
//! itself with a constant. Usage: `relay_cost [REQUESTS]`.

use {
    http_body_util::Full,
    hyper::{Request, Response, body::Incoming},
    rustix::time::{ClockId, clock_gettime},
    siskin_net::{
        relay::Terms,
        server::{self, Limits, Open, Placement, Placing},
    },
    std::{
        error::Error,
        io::{Read, Write},
        net::{SocketAddr, TcpListener as StdListener, TcpStream},
        sync::mpsc,
        thread,
        time::Duration,
    },
    tokio::{net::TcpListener, runtime, sync::watch},
};

const REQUESTS: u32 = 6_400;

/// Clients at the same time, as a relayed connection ends some time after its response.
const CLIENTS: u32 = 64;

const REQUEST: &[u8] = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 200\r\n\r\n";
const BODY: [u8; 200] = [b'x'; 200];
const TIME_ALLOWED: Duration = Duration::from_secs(5);
const LIMITS: Limits =
    Limits { head_timeout: Duration::from_secs(5), head_bytes: 16 * 1024, user_timeout: None };

fn main() -> Result<(), Box<dyn Error>> {
    let requests = std::env::args().nth(1).map_or(Ok(REQUESTS), |count| count.parse())?;
    let (target, _target_stop, _target_time) = start(Placement::Once)?;
    for (name, placement) in [("served", Placement::Once), ("relayed", Placement::Relay(target))] {
        let (address, stop, time) = start(placement)?;
        thread::scope(|clients| {
            for _ in 0..CLIENTS {
                clients.spawn(|| (0..requests / CLIENTS).try_for_each(|_| send(address)));
            }
        });
        stop.send(true)?;
        let spent = time.recv()?;
        println!("{name}: {:.1} us a request", spent.as_secs_f64() * 1e6 / f64::from(requests));
    }
    Ok(())
}

/// Starts a router on a thread of its own. Returns its address, its stop, and the processor time that it took until then.
fn start(
    placement: Placement,
) -> std::io::Result<(SocketAddr, watch::Sender<bool>, mpsc::Receiver<Duration>)> {
    let listener = StdListener::bind("127.0.0.1:0")?;
    listener.set_nonblocking(true)?;
    let address = listener.local_addr()?;
    let (stop, stopped) = watch::channel(false);
    let (report, time) = mpsc::channel();
    let runtime = runtime::Builder::new_current_thread().enable_all().build()?;
    thread::spawn(move || {
        runtime.block_on(async {
            let Ok(listener) = TcpListener::from_std(listener) else { return };
            let placing = Placing {
                place: move |_| placement,
                terms: |_: Request<()>| {
                    Some(Terms { id: String::new(), allowed: TIME_ALLOWED, in_time: true })
                },
            };
            let (open, finish) = (Open::default(), Duration::from_secs(1));
            server::run_with_placement(
                listener,
                || LIMITS,
                answer,
                stopped,
                finish,
                &open,
                placing,
            )
            .await;
        });
        // The receiver may be gone; the time is not needed then.
        let _ = report.send(thread_time());
    });
    Ok((address, stop, time))
}

async fn answer(_request: Request<Incoming>) -> Response<Full<&'static [u8]>> {
    Response::new(Full::new(&BODY))
}

fn thread_time() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    Duration::try_from(time).unwrap_or_default()
}

fn send(address: SocketAddr) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(address)?;
    stream.write_all(&[REQUEST, &BODY].concat())?;
    stream.read_to_end(&mut Vec::new())?;
    Ok(())
}
