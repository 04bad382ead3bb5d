use super::*;

fn run<T>(test: impl std::future::Future<Output = io::Result<T>>) -> io::Result<T> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    tokio::task::LocalSet::new().block_on(&runtime, test)
}

async fn connected() -> io::Result<(Relay, TcpStream, TcpStream)> {
    let server = TcpListener::bind("127.0.0.1:0").await?;
    let relay = Relay::tcp(server.local_addr()?).await?;
    let mut client = TcpStream::connect(relay.address).await?;
    let (mut server, _) = server.accept().await?;
    client.write_all(b"a").await?;
    assert_eq!(server.read_u8().await?, b'a');
    Ok((relay, client, server))
}

#[test]
fn reset_reaches_both_ends_as_connection_reset() -> io::Result<()> {
    run(async {
        let (relay, mut client, mut server) = connected().await?;
        relay.reset();
        for end in [&mut client, &mut server] {
            let kind = end.read_u8().await.map_err(|error| error.kind());
            assert_eq!(kind, Err(io::ErrorKind::ConnectionReset));
        }
        Ok(())
    })
}

#[test]
fn data_withheld_by_a_cut_arrives_once_the_path_is_restored() -> io::Result<()> {
    run(async {
        let (relay, mut client, mut server) = connected().await?;
        relay.update_faults(|fault| fault.cut_to_server = true);
        client.write_all(b"b").await?;
        // The other direction is not cut. Data that arrives over it was sent after the data that the cut withholds.
        for _ in 0..20 {
            server.write_all(b"c").await?;
            assert_eq!(client.read_u8().await?, b'c');
        }
        assert!(server.try_read(&mut [0]).is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock));
        relay.update_faults(|fault| fault.cut_to_server = false);
        assert_eq!(server.read_u8().await?, b'b');
        Ok(())
    })
}

#[test]
fn datagrams_lost_by_a_cut_are_not_recorded_as_deliveries() -> io::Result<()> {
    run(async {
        let server = UdpSocket::bind("127.0.0.1:0").await?;
        let relay = Relay::udp(server.local_addr()?, 1).await?;
        let client = UdpSocket::bind("127.0.0.1:0").await?;
        client.connect(relay.address).await?;
        let mut bytes = [0; 8];
        for (id, cut) in [(1_u16, false), (2, true), (3, false)] {
            relay.update_faults(|fault| fault.cut_to_client = cut);
            client.send(&id.to_be_bytes()).await?;
            let (_, port) = server.recv_from(&mut bytes).await?;
            assert_eq!(relay.relay_addresses(), [port]);
            server.send_to(&id.to_be_bytes(), port).await?;
            if cut {
                while relay.lost() == 0 {
                    tokio::task::yield_now().await;
                }
            } else {
                client.recv(&mut bytes).await?;
                assert_eq!(bytes[..2], id.to_be_bytes());
            }
        }
        let ids: Vec<u16> = relay.deliveries().iter().map(|delivery| delivery.id).collect();
        assert_eq!(ids, [1, 3]);
        Ok(())
    })
}
