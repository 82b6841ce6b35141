//! Notices over UDP sockets.

mod support;

use {
    gullglade_peer::{MAX_NOTICE_BYTES, NoticeSender, NoticeSocket, PeerConfig},
    gullglade_units::ProcessContext,
    std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration},
    support::{block_on, config, config_of},
};

fn bind_socket(config: &PeerConfig) -> Rc<NoticeSocket> {
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    NoticeSocket::bind(address, config, ProcessContext::system()).expect("a port")
}

/// Starts a receiver that records notices; returns its address and the recorded bodies.
fn start_receiver(config: &PeerConfig) -> (SocketAddr, Rc<RefCell<Vec<Vec<u8>>>>) {
    let socket = bind_socket(config);
    let received: Rc<RefCell<Vec<Vec<u8>>>> = Rc::default();
    let recorded = Rc::clone(&received);
    let address = socket.local_addr();
    monoio::spawn(socket.run(Rc::new(move |body| recorded.borrow_mut().push(body.to_vec()))));
    (address, received)
}

async fn wait_for_delivery() {
    monoio::time::sleep(Duration::from_millis(50)).await;
}

#[test]
fn authenticated_notices_reach_every_receiver() {
    block_on(async {
        let (first, received_first) = start_receiver(&config("a"));
        let (second, received_second) = start_receiver(&config("b"));
        let unused_address = SocketAddr::from(([127, 0, 0, 1], 9));
        let sender = bind_socket(&config("c"));
        sender.notify(&[first, unused_address, second], b"one");
        sender.notify(&[second], &[7; MAX_NOTICE_BYTES]);
        wait_for_delivery().await;
        assert_eq!(*received_first.borrow(), [b"one".to_vec()]);
        assert_eq!(*received_second.borrow(), [b"one".to_vec(), vec![7; MAX_NOTICE_BYTES]]);
    });
}

#[test]
fn unauthenticated_datagrams_are_dropped_and_later_notices_received() {
    struct ForgedDatagram {
        name: &'static str,
        sender: Option<PeerConfig>,
        raw: &'static [u8],
    }
    let secret = "a secret for tests only";
    let forgeries = [
        ForgedDatagram {
            name: "another secret",
            sender: Some(config_of("c", "ballast", "not the secret for tests")),
            raw: b"",
        },
        ForgedDatagram {
            name: "another cluster",
            sender: Some(config_of("c", "pipeline", secret)),
            raw: b"",
        },
        ForgedDatagram { name: "empty datagram", sender: None, raw: b"" },
        ForgedDatagram { name: "no authentication tag", sender: None, raw: b"short" },
        ForgedDatagram { name: "a wrong authentication tag", sender: None, raw: &[0; 40] },
    ];
    for forgery in forgeries {
        block_on(async {
            let (address, received) = start_receiver(&config("a"));
            match &forgery.sender {
                Some(config) => bind_socket(config).notify(&[address], b"forged"),
                None => {
                    let socket = std::net::UdpSocket::bind("127.0.0.1:0").expect("a socket");
                    socket.send_to(forgery.raw, address).expect("sent");
                }
            }
            wait_for_delivery().await;
            assert!(received.borrow().is_empty(), "{}: {:?}", forgery.name, received.borrow());
            bind_socket(&config("b")).notify(&[address], b"true");
            wait_for_delivery().await;
            assert_eq!(*received.borrow(), [b"true".to_vec()], "after {}", forgery.name);
        });
    }
}

#[test]
fn oversized_notice_is_not_sent() {
    block_on(async {
        let (address, received) = start_receiver(&config("a"));
        bind_socket(&config("b")).notify(&[address], &[1; MAX_NOTICE_BYTES + 1]);
        wait_for_delivery().await;
        assert!(received.borrow().is_empty());
    });
}
