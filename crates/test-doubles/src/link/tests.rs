use super::*;

fn run<T>(play: impl std::future::Future<Output = io::Result<T>>) -> io::Result<T> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    tokio::task::LocalSet::new().block_on(&runtime, play)
}

async fn pair() -> io::Result<(Link, TcpStream, TcpStream)> {
    let far = TcpListener::bind("127.0.0.1:0").await?;
    let link = Link::tcp(far.local_addr()?).await?;
    let mut near = TcpStream::connect(link.address).await?;
    let (mut far, _) = far.accept().await?;
    near.write_all(b"a").await?;
    assert_eq!(far.read_u8().await?, b'a');
    Ok((link, near, far))
}

#[test]
fn reset_is_seen_as_one_at_both_ends() -> io::Result<()> {
    run(async {
        let (link, mut near, mut far) = pair().await?;
        link.reset();
        for end in [&mut near, &mut far] {
            let kind = end.read_u8().await.map_err(|e| e.kind());
            assert_eq!(kind, Err(io::ErrorKind::ConnectionReset));
        }
        Ok(())
    })
}

#[test]
fn what_is_on_a_way_that_is_cut_arrives_once_it_mends() -> io::Result<()> {
    run(async {
        let (link, mut near, mut far) = pair().await?;
        link.set(|f| f.out = true);
        near.write_all(b"b").await?;
        // The other way still goes; what comes on it is later than what would have gone.
        for _ in 0..20 {
            far.write_all(b"c").await?;
            assert_eq!(near.read_u8().await?, b'c');
        }
        assert!(far.try_read(&mut [0]).is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock));
        link.set(|f| f.out = false);
        assert_eq!(far.read_u8().await?, b'b');
        Ok(())
    })
}

#[test]
fn answers_that_are_cut_off_were_not_delivered() -> io::Result<()> {
    run(async {
        let far = UdpSocket::bind("127.0.0.1:0").await?;
        let link = Link::udp(far.local_addr()?, 1).await?;
        let near = UdpSocket::bind("127.0.0.1:0").await?;
        near.connect(link.address).await?;
        let mut bytes = [0; 8];
        for (id, cut) in [(1_u16, false), (2, true), (3, false)] {
            link.set(|f| f.back = cut);
            near.send(&id.to_be_bytes()).await?;
            let (_, port) = far.recv_from(&mut bytes).await?;
            assert_eq!(link.ports(), [port]);
            far.send_to(&id.to_be_bytes(), port).await?;
            if cut {
                while link.lost() == 0 {
                    tokio::task::yield_now().await;
                }
            } else {
                near.recv(&mut bytes).await?;
                assert_eq!(bytes[..2], id.to_be_bytes());
            }
        }
        let ids: Vec<u16> = link.delivered().iter().map(|d| d.1).collect();
        assert_eq!(ids, [1, 3]);
        Ok(())
    })
}
