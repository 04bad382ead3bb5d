//! The name service of a play.

use starlingplank_standins::list::{answer, Entry};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::UdpSocket;

/// Bytes of the head of a question.
const QUESTION_HEAD: usize = 12;
/// The list of engines, told by two services with the same words.
pub struct Discovery {
    /// The list.
    pub entries: RefCell<Vec<Entry>>,
    /// Its version.
    pub serial: Cell<u32>,
    /// Since when neither of them answers.
    pub silent_since: Cell<Option<f64>>,
    /// Where they listen.
    pub addresses: [SocketAddr; 2],
}

impl Discovery {
    /// Starts both.
    ///
    /// # Errors
    /// There is no port.
    pub async fn start() -> std::io::Result<Rc<Self>> {
        let sockets = [UdpSocket::bind("127.0.0.1:0").await?, UdpSocket::bind("127.0.0.1:0").await?];
        let addresses = [sockets[0].local_addr()?, sockets[1].local_addr()?];
        let discovery = Rc::new(Self {
            entries: RefCell::default(),
            serial: Cell::new(1),
            silent_since: Cell::new(None),
            addresses,
        });
        for socket in sockets {
            tokio::task::spawn_local(discovery.clone().serve(socket));
        }
        Ok(discovery)
    }

    async fn serve(self: Rc<Self>, socket: UdpSocket) {
        let mut question = [0; 512];
        loop {
            let Ok((len, from)) = socket.recv_from(&mut question).await else { continue };
            // Less than a head is no question.
            if len >= QUESTION_HEAD && self.silent_since.get().is_none() {
                let said = answer(&question[..len], self.serial.get(), &self.entries.borrow());
                let _ = socket.send_to(&said, from).await;
            }
        }
    }

    /// Tells another list from now on.
    pub fn change(&self, change: impl FnOnce(&mut Vec<Entry>)) {
        change(&mut self.entries.borrow_mut());
        self.serial.set(self.serial.get() + 1);
    }
}
