use super::*;
use std::io::Write;
use std::net::{TcpListener, TcpStream as Client};
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::task::{spawn_local, LocalSet};

/// Number of clients, larger than the number of tasks that the runtime runs between two polls of its sockets.
const CLIENTS: usize = 200;

/// Returns a client and the gateway's side of its connection.
fn connection(listener: &TcpListener) -> (Client, TcpStream) {
    let client = Client::connect(listener.local_addr().expect("bound")).expect("connected");
    let (stream, _) = listener.accept().expect("accepted");
    stream.set_nonblocking(true).expect("set");
    (client, TcpStream::from_std(stream).expect("registered"))
}

async fn count_once_readable(stream: TcpStream, read: Rc<Cell<usize>>) {
    stream.readable().await.expect("readable");
    read.set(read.get() + 1);
}

/// Returns a barrier whose last read of client sockets was 1 s ago, as after a pause.
fn outdated_barrier() -> ReadBarrier {
    let barrier = ReadBarrier::new();
    barrier.read_until.set(Instant::now() - Duration::from_secs(1));
    barrier
}

#[test]
fn pass_ends_after_all_arrived_bytes_are_read() {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().expect("runtime is created");
    LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").expect("local port is bound");
        let read = Rc::new(Cell::new(0));
        let (mut clients, streams): (Vec<_>, Vec<_>) = (0..CLIENTS).map(|_| connection(&listener)).unzip();
        for stream in streams {
            spawn_local(count_once_readable(stream, read.clone()));
        }
        yield_now().await;
        for client in &mut clients {
            client.write_all(b"gone").expect("sent");
        }
        // As in the gateway, a separate task passes the barrier.
        let barrier = outdated_barrier();
        spawn_local(async move { barrier.pass().await }).await.expect("barrier is passed");
        assert_eq!(read.get(), CLIENTS);
    });
}

#[test]
fn barrier_is_fresh_after_a_pass_and_outdated_after_a_pause() {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().expect("runtime is created");
    runtime.block_on(async {
        let barrier = outdated_barrier();
        assert!(!barrier.is_fresh());
        barrier.pass().await;
        assert!(barrier.read_until.get().elapsed() < Duration::from_secs(1));
    });
}
