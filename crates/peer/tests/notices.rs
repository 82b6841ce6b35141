//! Notices over real sockets.

mod support;

use {
    gullglade_peer::{MAX_NOTICE_BYTES, NoticeSender, NoticeSocket, PeerConfig},
    gullglade_units::ProcessContext,
    std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration},
    support::{block_on, config, config_of},
};

fn port(config: &PeerConfig) -> Rc<NoticeSocket> {
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    NoticeSocket::bind(address, config, ProcessContext::system()).expect("a port")
}

/// A port whose notices are kept.
fn listening(config: &PeerConfig) -> (SocketAddr, Rc<RefCell<Vec<Vec<u8>>>>) {
    let port = port(config);
    let heard: Rc<RefCell<Vec<Vec<u8>>>> = Rc::default();
    let kept = Rc::clone(&heard);
    let address = port.local_addr();
    monoio::spawn(port.run(Rc::new(move |body| kept.borrow_mut().push(body.to_vec()))));
    (address, heard)
}

async fn settle() {
    monoio::time::sleep(Duration::from_millis(50)).await;
}

#[test]
fn each_listener_gets_what_a_holder_of_the_secret_sent() {
    block_on(async {
        let (first, heard_first) = listening(&config("a"));
        let (second, heard_second) = listening(&config("b"));
        let nobody = SocketAddr::from(([127, 0, 0, 1], 9));
        let sender = port(&config("c"));
        sender.notify(&[first, nobody, second], b"one");
        sender.notify(&[second], &[7; MAX_NOTICE_BYTES]);
        settle().await;
        assert_eq!(*heard_first.borrow(), [b"one".to_vec()]);
        assert_eq!(*heard_second.borrow(), [b"one".to_vec(), vec![7; MAX_NOTICE_BYTES]]);
    });
}

#[test]
fn what_the_secret_does_not_cover_is_dropped_and_the_next_one_is_taken() {
    struct Forgery {
        name: &'static str,
        sender: Option<PeerConfig>,
        raw: &'static [u8],
    }
    let secret = "a secret for tests only";
    let forgeries = [
        Forgery {
            name: "another secret",
            sender: Some(config_of("c", "ballast", "not the secret for tests")),
            raw: b"",
        },
        Forgery {
            name: "another cluster",
            sender: Some(config_of("c", "pipeline", secret)),
            raw: b"",
        },
        Forgery { name: "nothing", sender: None, raw: b"" },
        Forgery { name: "no code", sender: None, raw: b"short" },
        Forgery { name: "a wrong code", sender: None, raw: &[0; 40] },
    ];
    for forgery in forgeries {
        block_on(async {
            let (address, heard) = listening(&config("a"));
            match &forgery.sender {
                Some(config) => port(config).notify(&[address], b"forged"),
                None => {
                    let socket = std::net::UdpSocket::bind("127.0.0.1:0").expect("a socket");
                    socket.send_to(forgery.raw, address).expect("sent");
                }
            }
            settle().await;
            assert!(heard.borrow().is_empty(), "{}: {:?}", forgery.name, heard.borrow());
            port(&config("b")).notify(&[address], b"true");
            settle().await;
            assert_eq!(*heard.borrow(), [b"true".to_vec()], "after {}", forgery.name);
        });
    }
}

#[test]
fn a_notice_that_is_too_long_is_not_sent_in_part() {
    block_on(async {
        let (address, heard) = listening(&config("a"));
        port(&config("b")).notify(&[address], &[1; MAX_NOTICE_BYTES + 1]);
        settle().await;
        assert!(heard.borrow().is_empty());
    });
}
