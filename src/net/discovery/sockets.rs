//! The sockets of the flows. They are not connected: each asks whatever address the service has, and hears former ones, so
//! that a change of the address needs no new socket.

use crate::net::connection::SocketRetry;
use starlingplank_service_discovery::flows::FlowId;
use std::future::poll_fn;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::task::{Context, Poll};
use tokio::io::ReadBuf;
use tokio::net::UdpSocket;

/// A datagram: its length, where it comes from, and the flow that it came on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Datagram {
    /// Bytes in the buffer.
    pub len: usize,
    /// Its sender.
    pub from: SocketAddr,
    /// The flow.
    pub flow: FlowId,
}

/// The sockets that are open, by flow, and one that is kept for the next flow: a flow is renewed also where no descriptor can
/// be had at that moment.
#[derive(Debug, Default)]
pub struct Sockets {
    open: Vec<(FlowId, UdpSocket)>,
    spare: Option<UdpSocket>,
}

/// A socket at a port that the system chooses.
async fn bind() -> io::Result<UdpSocket> {
    loop {
        match UdpSocket::bind(SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0)).await {
            Err(e) if SocketRetry::after(&e) == Some(SocketRetry::Immediately) => {}
            bound => return bound,
        }
    }
}

impl Sockets {
    /// Has a socket ready for the next flow.
    ///
    /// # Errors
    /// None can be had now.
    pub async fn prepare(&mut self) -> io::Result<()> {
        if self.spare.is_none() {
            self.spare = Some(bind().await?);
        }
        Ok(())
    }

    /// Whether a socket is ready for the next flow.
    pub fn is_prepared(&self) -> bool {
        self.spare.is_some()
    }

    /// Opens a flow with the socket that is ready.
    pub fn open(&mut self, flow: FlowId) {
        self.open.extend(self.spare.take().map(|socket| (flow, socket)));
    }

    /// Closes flows.
    pub fn close(&mut self, flows: &[FlowId]) {
        self.open.retain(|(flow, _)| !flows.contains(flow));
    }

    /// Sends a question on a flow. One that cannot be sent is lost, as one that the network drops.
    pub async fn send(&self, flow: FlowId, question: &[u8], to: SocketAddr) -> io::Result<()> {
        let Some((_, socket)) = self.open.iter().find(|(id, _)| *id == flow) else { return Ok(()) };
        loop {
            match socket.send_to(question, to).await {
                Err(e) if SocketRetry::after(&e) == Some(SocketRetry::Immediately) => {}
                sent => return sent.map(drop),
            }
        }
    }

    /// The next datagram of any flow.
    ///
    /// # Errors
    /// The flow that cannot be read from, and why.
    pub async fn receive(&self, buffer: &mut [u8]) -> Result<Datagram, (FlowId, io::Error)> {
        poll_fn(|context| self.poll_receive(context, buffer)).await
    }

    /// A datagram that has arrived already, if there is one.
    pub fn try_receive(&self, buffer: &mut [u8]) -> Option<Datagram> {
        self.open.iter().find_map(|(flow, socket)| {
            let (len, from) = socket.try_recv_from(buffer).ok()?;
            Some(Datagram { len, from, flow: *flow })
        })
    }

    fn poll_receive(
        &self,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<Result<Datagram, (FlowId, io::Error)>> {
        for (flow, socket) in &self.open {
            let mut read = ReadBuf::new(buffer);
            loop {
                match socket.poll_recv_from(context, &mut read) {
                    Poll::Pending => break,
                    Poll::Ready(Ok(from)) => {
                        let len = read.filled().len();
                        return Poll::Ready(Ok(Datagram { len, from, flow: *flow }));
                    }
                    Poll::Ready(Err(e)) if SocketRetry::after(&e) == Some(SocketRetry::Immediately) => {}
                    Poll::Ready(Err(e)) => return Poll::Ready(Err((*flow, e))),
                }
            }
        }
        Poll::Pending
    }
}
