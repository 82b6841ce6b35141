//! Notices: single datagrams between processes, without an answer and without a promise that they
//! arrive.
//!
//! For what is worth nothing a moment later and costs little when it is lost. A call of a session
//! takes four system calls and two tasks; a notice takes one system call on each side. Told as
//! calls to 21 other gateways, placements took half of a gateway's processor time (139.7 s of
//! processor time in a replayed day against 68.3 s with none told).
//!
//! A notice carries an HMAC-SHA-256 over the cluster's name and the body, made with the peers'
//! secret. Whoever can read the network can send an old one again, so a handler must bear that.

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

/// The most bytes of a notice's body. With the code and the headers of UDP and IP a datagram stays
/// below the 1,500 bytes of an Ethernet frame, so that none is split on its way.
pub const MAX_NOTICE_BYTES: usize = 1_200;

/// The bytes of the code before the body: half of an HMAC-SHA-256, as RFC 2104 allows.
const CODE_BYTES: usize = 16;

/// What the code covers first, so that it can never be taken for a proof of a session.
const CONTEXT: &[u8] = b"gullglade notice 1";

/// The wait after a failed read, so that a socket that only fails does not take all of the time.
const READ_PAUSE: Duration = Duration::from_millis(20);

/// Why notices cannot be sent or received.
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
    /// Sends `body`, at most [`MAX_NOTICE_BYTES`] bytes, to each of `to`. It never waits: what the
    /// network does not take at once is lost, like any other notice may be.
    fn notify(&self, to: &[SocketAddr], body: &[u8]);
}

/// What is done with the body of each notice.
pub type NoticeHandler = Rc<dyn Fn(&[u8])>;

/// Makes and checks the codes of notices.
struct NoticeCode(Hmac<Sha256>);

impl NoticeCode {
    fn new(config: &PeerConfig) -> Self {
        let mut mac = Hmac::<Sha256>::new_from_slice(config.secret.as_bytes())
            .expect("HMAC takes keys of any length");
        mac.update(CONTEXT);
        mac.update(config.cluster.as_str().as_bytes());
        mac.update(&[0]);
        Self(mac)
    }

    fn seal(&self, body: &[u8]) -> Vec<u8> {
        let mut mac = self.0.clone();
        mac.update(body);
        let code = mac.finalize().into_bytes();
        [&code[..CODE_BYTES], body].concat()
    }

    /// The body of a datagram that a holder of the secret made.
    fn open<'a>(&self, datagram: &'a [u8]) -> Option<&'a [u8]> {
        let (code, body) = datagram.split_at_checked(CODE_BYTES)?;
        let mut mac = self.0.clone();
        mac.update(body);
        mac.verify_truncated_left(code).is_ok().then_some(body)
    }
}

/// The UDP port of a process, beside the TCP port of its sessions.
pub struct NoticeSocket {
    socket: UdpSocket,
    sender: std::net::UdpSocket,
    address: SocketAddr,
    code: NoticeCode,
    context: ProcessContext,
    events: Rc<dyn EventSink>,
    has_warned: Cell<bool>,
}

impl NoticeSocket {
    /// Takes notices at `address`.
    pub fn bind(
        address: SocketAddr,
        config: &PeerConfig,
        context: ProcessContext,
    ) -> Result<Rc<Self>, NoticeBindError> {
        let bind = || {
            let socket = UdpSocket::bind(address)?;
            let bound = socket.local_addr()?;
            // A socket of its own for sending: it is used without waiting.
            let sender = std::net::UdpSocket::bind(SocketAddr::new(address.ip(), 0))?;
            sender.set_nonblocking(true)?;
            io::Result::Ok((socket, sender, bound))
        };
        let (socket, sender, bound) = bind().context(NoticeBindSnafu { address })?;
        Ok(Rc::new(Self {
            socket,
            sender,
            address: bound,
            code: NoticeCode::new(config),
            context,
            events: Rc::clone(&config.events),
            has_warned: Cell::new(false),
        }))
    }

    /// The address it takes notices at, with the port the system chose where 0 was asked for.
    pub fn local_addr(&self) -> SocketAddr {
        self.address
    }

    /// Hands the body of each notice to `handler`, for as long as the process runs. Datagrams that
    /// no holder of the secret made are dropped; the first one is told of.
    pub async fn run(self: Rc<Self>, handler: NoticeHandler) {
        let mut buffer = vec![0; CODE_BYTES + MAX_NOTICE_BYTES];
        loop {
            let (read, returned) = self.socket.recv_from(buffer).await;
            buffer = returned;
            match read {
                Ok((length, from)) => match self.code.open(&buffer[..length]) {
                    Some(body) => handler(body),
                    None => self.warn(from),
                },
                // An earlier send to a process that is gone is reported here by some systems.
                Err(_) => self.context.clock.sleep(READ_PAUSE).await,
            }
        }
    }

    fn warn(&self, from: SocketAddr) {
        if !self.has_warned.replace(true) {
            let event = EventDraft::new("peer.notice_refused").level(Level::Warn);
            let reason = "not made with this cluster's secret; further ones are not told";
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
        let datagram = self.code.seal(body);
        for address in to {
            // A notice that is not sent is lost, which every receiver must bear anyway.
            let _: io::Result<usize> = self.sender.send_to(&datagram, address);
        }
    }
}
