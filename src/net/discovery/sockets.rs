//! UDP sockets of the flows to the name service. They are not connected: each sends to the service's current address and also
//! receives responses from its previous addresses, so that a change of the address needs no new socket.

use crate::net::connection::SocketRetry;
use starlingplank_service_discovery::poll::FlowId;
use std::future::poll_fn;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::task::{Context, Poll};
use tokio::io::ReadBuf;
use tokio::net::UdpSocket;

/// A datagram that was received into the caller's buffer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Datagram {
    /// Length of the datagram in bytes.
    pub len: usize,
    /// Address of the sender.
    pub from: SocketAddr,
    /// Flow on which the datagram was received.
    pub flow: FlowId,
}

/// Receiving on a flow failed.
#[derive(Debug, thiserror::Error)]
#[error("{source}")]
pub struct ReceiveError {
    /// The flow whose socket failed.
    pub flow: FlowId,
    /// The error of the flow's socket.
    pub source: io::Error,
}

/// The sockets of the open flows, and a spare socket for the next flow, so that a flow can be replaced while no descriptor is
/// available. Owns the descriptors, which are closed with their flows.
#[derive(Debug, Default)]
pub struct Sockets {
    open: Vec<(FlowId, UdpSocket)>,
    spare: Option<UdpSocket>,
}

/// Binds a UDP socket to a port that the system chooses.
async fn bind() -> io::Result<UdpSocket> {
    let any_port = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);
    loop {
        match UdpSocket::bind(any_port).await {
            Err(error) if is_interrupted(&error) => {}
            bound => return bound,
        }
    }
}

/// Returns whether a signal interrupted the call, which is then retried immediately.
fn is_interrupted(error: &io::Error) -> bool {
    SocketRetry::after(error) == Some(SocketRetry::Immediately)
}

impl Sockets {
    /// Binds a spare socket unless one exists.
    ///
    /// # Errors
    /// No socket is available.
    pub async fn prepare_spare(&mut self) -> io::Result<()> {
        if self.spare.is_none() {
            self.spare = Some(bind().await?);
        }
        Ok(())
    }

    /// Returns whether a spare socket exists.
    pub fn has_spare(&self) -> bool {
        self.spare.is_some()
    }

    /// Opens a flow with the spare socket; without a spare socket, does nothing.
    pub fn open(&mut self, flow: FlowId) {
        self.open.extend(self.spare.take().map(|socket| (flow, socket)));
    }

    /// Closes flows and their sockets.
    pub fn close(&mut self, flows: &[FlowId]) {
        self.open.retain(|(flow, _)| !flows.contains(flow));
    }

    /// Sends a message on a flow. If the flow is not open, the message is dropped, as if lost in the network.
    ///
    /// # Errors
    /// The flow's socket cannot send the message.
    pub async fn send(&self, flow: FlowId, message: &[u8], to: SocketAddr) -> io::Result<()> {
        let Some((_, socket)) = self.open.iter().find(|(id, _)| *id == flow) else { return Ok(()) };
        loop {
            match socket.send_to(message, to).await {
                Err(error) if is_interrupted(&error) => {}
                sent => return sent.map(drop),
            }
        }
    }

    /// Receives the next datagram on any flow.
    ///
    /// # Errors
    /// Receiving on one of the flows fails.
    pub async fn receive(&self, buffer: &mut [u8]) -> Result<Datagram, ReceiveError> {
        poll_fn(|context| self.poll_receive(context, buffer)).await
    }

    /// Receives a datagram that has already arrived, if there is one.
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
    ) -> Poll<Result<Datagram, ReceiveError>> {
        for (flow, socket) in &self.open {
            let received = poll_socket(socket, context, buffer);
            let flow = *flow;
            match received {
                Poll::Pending => {}
                Poll::Ready(Ok((len, from))) => return Poll::Ready(Ok(Datagram { len, from, flow })),
                Poll::Ready(Err(source)) => return Poll::Ready(Err(ReceiveError { flow, source })),
            }
        }
        Poll::Pending
    }
}

/// Polls one socket for a datagram. Returns the datagram's length and its sender.
fn poll_socket(
    socket: &UdpSocket,
    context: &mut Context<'_>,
    buffer: &mut [u8],
) -> Poll<io::Result<(usize, SocketAddr)>> {
    let mut read = ReadBuf::new(buffer);
    loop {
        match socket.poll_recv_from(context, &mut read) {
            Poll::Ready(Err(error)) if is_interrupted(&error) => {}
            Poll::Ready(Ok(from)) => return Poll::Ready(Ok((read.filled().len(), from))),
            Poll::Ready(Err(error)) => return Poll::Ready(Err(error)),
            Poll::Pending => return Poll::Pending,
        }
    }
}
