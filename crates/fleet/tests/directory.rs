//! The list of backend servers.

use primrose_fleet::directory::Directory;
use primrose_place::Server;

fn server(id: &str, port: u16, draining: bool) -> Server {
    Server {
        id: id.into(),
        pool: "p".into(),
        address: format!("10.0.0.1:{port}").parse().expect("an address"),
        domain: "z".into(),
        slots: 1,
        draining,
        cold: false,
    }
}

// A server that starts to drain while the list is read can be on two of its pages, first as ready. It must get no new
// requests then, whichever entry comes first.
#[test]
fn draining_entry_of_a_server_wins() {
    let entries = [
        server("a", 1, true),
        server("a", 1, false),
        server("b", 2, false),
    ];
    let mut reversed = entries.to_vec();
    reversed.reverse();
    for servers in [entries.to_vec(), reversed] {
        let directory = Directory::new(servers);
        assert_eq!(
            directory.servers(),
            [server("a", 1, true), server("b", 2, false)]
        );
    }
    // The address of the kept entry does not depend on the order either, so hosts agree on the fingerprint.
    let both = [server("a", 1, false), server("a", 2, true)];
    let directory = Directory::new(both.to_vec());
    assert_eq!(directory.servers(), [server("a", 2, true)]);
    assert_eq!(
        directory.fingerprint(),
        Directory::new(both.into_iter().rev().collect()).fingerprint()
    );
}
