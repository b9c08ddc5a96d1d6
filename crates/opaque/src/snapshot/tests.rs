use std::net::SocketAddr;

use camphorwinch_wire::opaque::MemberEntry;
use futures::future::join_all;
use tokio::io::AsyncReadExt;

use super::*;

/// Sends a request and reads the first response.
async fn requester(at: SocketAddrV4) -> Frames<TcpStream> {
    let mut frames = frames(TcpStream::connect(at).await.expect("the server listens"));
    let request = Bytes::from(SnapshotRequest::all().encode_to_vec());
    frames.send(request).await.expect("the request is sent");
    receive(&mut frames).await.expect("the first response");
    frames
}

/// Whether more of the answer arrives. The connection stays open with the answer unread.
async fn is_answered(requester: &mut Frames<TcpStream>) -> bool {
    let answer = requester.get_mut().read_u8();
    timeout(Duration::from_millis(250), answer).await.is_ok_and(|it| it.is_ok())
}

// Guards against building all answers at once, which exhausts memory when many processes restart.
#[tokio::test]
async fn unread_answers_are_bounded() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let SocketAddr::V4(at) = listener.local_addr().expect("its address") else { panic!("IPv6") };
    drop(listener);
    // Larger than the socket buffers.
    let member = MemberEntry { name: "x".repeat(1_000), ..MemberEntry::default() };
    let large = Snapshot { members: vec![member; 7_000], ..Snapshot::default() };
    let (_newest, snapshots) = watch::channel(Arc::new(large));
    serve(at, snapshots, Some(Arc::default())).expect("it serves");
    let mut requesters = join_all((0..MAX_CONCURRENT_ANSWERS + 8).map(|_| requester(at))).await;
    let answered = join_all(requesters.iter_mut().map(is_answered)).await;
    let answered = answered.into_iter().filter(|&it| it).count();
    assert!((1..=MAX_CONCURRENT_ANSWERS).contains(&answered), "{answered}");
}
