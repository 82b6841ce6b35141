//! Notices: authenticated UDP datagrams between processes, without acknowledgement or guaranteed
//! delivery.
//!
//! They carry short-lived information whose loss is harmless. A call takes four system calls and
//! two tasks; a notice takes one system call on each side. Sending placements to 21 other gateways
//! as calls used half of a gateway's CPU time (139.7 s in a replayed day, against 68.3 s without
//! sending them).
//!
//! A notice carries an HMAC-SHA-256 over the cluster name and the body, keyed with the peer secret.
//! There is no replay protection: an attacker on the network can resend an old notice, so handlers
//! must tolerate duplicates.

use {
    crate::PeerConfig,
    gullglade_event::{EventDraft, EventSink, Level},
    gullglade_units::ProcessContext,
    hmac::{Hmac, Mac},
    monoio::net::udp::UdpSocket,
    sha2::Sha256,
    snafu::{ResultExt, Snafu},
    std::{cell::Cell, io, net::SocketAddr, rc::Rc, time::Duration},
};

/// Maximum size of a notice's body. With the authentication tag and the UDP and IP headers, a
/// datagram stays below the Ethernet MTU of 1,500 bytes and is not fragmented.
pub const MAX_NOTICE_BYTES: usize = 1_200;

/// Length of the authentication tag before the body: an HMAC-SHA-256 truncated to half of its
/// length, as RFC 2104 allows.
const TAG_BYTES: usize = 16;

/// Domain separator of the MAC, so that a tag can never pass for a proof of the session handshake.
const MAC_CONTEXT: &[u8] = b"gullglade notice 1";

/// Delay after a failed read, so that a persistently failing socket does not cause a busy loop.
const READ_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Error of binding the sockets for notices.
#[derive(Debug, Snafu)]
#[snafu(display(
    "cannot use UDP port {address} for notices between processes: {source}; is the address this \
     VM's, and the port free for UDP as well as for TCP?"
))]
pub struct NoticeBindError {
    address: SocketAddr,
    source: io::Error,
}

/// Sends notices.
pub trait NoticeSender {
    /// Sends `body`, at most [`MAX_NOTICE_BYTES`] bytes, to each address of `to`. Never blocks: a
    /// datagram that the socket does not accept immediately is dropped.
    fn notify(&self, to: &[SocketAddr], body: &[u8]);
}

/// Callback that receives the body of each authenticated notice.
pub type NoticeHandler = Rc<dyn Fn(&[u8])>;

/// Computes and verifies the authentication tags of notices.
struct NoticeAuthenticator(Hmac<Sha256>);

impl NoticeAuthenticator {
    fn new(config: &PeerConfig) -> Self {
        let mut mac = Hmac::<Sha256>::new_from_slice(config.secret.as_bytes())
            .expect("HMAC takes keys of any length");
        mac.update(MAC_CONTEXT);
        mac.update(config.cluster.as_str().as_bytes());
        mac.update(&[0]);
        Self(mac)
    }

    fn sign(&self, body: &[u8]) -> Vec<u8> {
        let mut mac = self.0.clone();
        mac.update(body);
        let tag = mac.finalize().into_bytes();
        [&tag[..TAG_BYTES], body].concat()
    }

    /// Returns the body of `datagram`, or `None` if its authentication tag is missing or invalid.
    fn verify<'a>(&self, datagram: &'a [u8]) -> Option<&'a [u8]> {
        let (tag, body) = datagram.split_at_checked(TAG_BYTES)?;
        let mut mac = self.0.clone();
        mac.update(body);
        mac.verify_truncated_left(tag).is_ok().then_some(body)
    }
}

/// UDP endpoint of a process, next to the TCP listener of its sessions.
pub struct NoticeSocket {
    socket: UdpSocket,
    sender: std::net::UdpSocket,
    address: SocketAddr,
    authenticator: NoticeAuthenticator,
    context: ProcessContext,
    events: Rc<dyn EventSink>,
    has_warned: Cell<bool>,
}

impl NoticeSocket {
    /// Binds the receiving socket to `address`, and a sending socket to the same IP address.
    pub fn bind(
        address: SocketAddr,
        config: &PeerConfig,
        context: ProcessContext,
    ) -> Result<Rc<Self>, NoticeBindError> {
        let bind = || {
            let socket = UdpSocket::bind(address)?;
            let bound = socket.local_addr()?;
            // A separate non-blocking socket for sending, since `notify` must not wait.
            let sender = std::net::UdpSocket::bind(SocketAddr::new(address.ip(), 0))?;
            sender.set_nonblocking(true)?;
            io::Result::Ok((socket, sender, bound))
        };
        let (socket, sender, bound) = bind().context(NoticeBindSnafu { address })?;
        Ok(Rc::new(Self {
            socket,
            sender,
            address: bound,
            authenticator: NoticeAuthenticator::new(config),
            context,
            events: Rc::clone(&config.events),
            has_warned: Cell::new(false),
        }))
    }

    /// Returns the bound address, with the actual port if port 0 was requested.
    pub fn local_addr(&self) -> SocketAddr {
        self.address
    }

    /// Receives notices and passes their bodies to `handler`; never returns. Datagrams that fail
    /// authentication are dropped, and the first one is reported as an event.
    pub async fn run(self: Rc<Self>, handler: NoticeHandler) {
        let mut buffer = vec![0; TAG_BYTES + MAX_NOTICE_BYTES];
        loop {
            let (read, returned) = self.socket.recv_from(buffer).await;
            buffer = returned;
            match read {
                Ok((length, from)) => match self.authenticator.verify(&buffer[..length]) {
                    Some(body) => handler(body),
                    None => self.report_unauthenticated(from),
                },
                // Some operating systems report here that an earlier datagram was undeliverable.
                Err(_) => self.context.clock.sleep(READ_RETRY_DELAY).await,
            }
        }
    }

    fn report_unauthenticated(&self, from: SocketAddr) {
        if !self.has_warned.replace(true) {
            let event = EventDraft::new("peer.notice_refused").level(Level::Warn);
            let reason =
                "not authenticated with this cluster's secret; further ones are not reported";
            self.events.emit(event.field("from", from).field("reason", reason));
        }
    }
}

impl NoticeSender for NoticeSocket {
    fn notify(&self, to: &[SocketAddr], body: &[u8]) {
        if body.len() > MAX_NOTICE_BYTES {
            let event = EventDraft::new("peer.notice_too_long").level(Level::Error);
            self.events.emit(event.field("bytes", body.len()).field("limit", MAX_NOTICE_BYTES));
            return;
        }
        let datagram = self.authenticator.sign(body);
        for address in to {
            // Delivery is best effort, so a failed send is ignored.
            let _: io::Result<usize> = self.sender.send_to(&datagram, address);
        }
    }
}
