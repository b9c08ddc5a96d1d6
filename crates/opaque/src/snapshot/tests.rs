use std::net::SocketAddr;

use camphorwinch_wire::opaque::MemberEntry;
use futures::{future::join_all, stream::FuturesUnordered};
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

/// Requests more answers than may be sent at a time and reads a byte of each. Returns the number of answers that have
/// begun when `enough` have, or when none has begun for 250 ms. All connections stay open with the answers unread.
async fn begun_answers(send_timeout: Duration, enough: usize) -> usize {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let SocketAddr::V4(at) = listener.local_addr().expect("its address") else { panic!("IPv6") };
    // Larger than the socket buffers.
    let member = MemberEntry { name: "x".repeat(1_000), ..MemberEntry::default() };
    let large = Snapshot { members: vec![member; 7_000], ..Snapshot::default() };
    let (_newest, snapshots) = watch::channel(Arc::new(large));
    tokio::spawn(accept(listener, snapshots, Some(Arc::default()), send_timeout));
    let mut requesters = join_all((0..MAX_CONCURRENT_ANSWERS + 8).map(|_| requester(at))).await;
    let first_bytes = requesters.iter_mut().map(|it| it.get_mut().read_u8());
    let mut first_bytes: FuturesUnordered<_> = first_bytes.collect();
    let mut begun = 0;
    while begun < enough {
        // The answers within the bound may take long to begin on a busy machine.
        let wait_ms = if begun < MAX_CONCURRENT_ANSWERS { 30_000 } else { 250 };
        let next = timeout(Duration::from_millis(wait_ms), first_bytes.next()).await;
        let Ok(Some(Ok(_))) = next else { break };
        begun += 1;
    }
    begun
}

// Guards against building all answers at once, which exhausts memory when many processes restart. No answer times out
// meanwhile: its place would go to the next one, which may be counted too.
#[tokio::test]
async fn unread_answers_are_bounded() {
    let begun = begun_answers(Duration::from_secs(60), MAX_CONCURRENT_ANSWERS + 1).await;
    assert_eq!(begun, MAX_CONCURRENT_ANSWERS);
}

// Guards against requesters that do not read and thereby keep all others from being answered.
#[tokio::test]
async fn unread_answer_gives_way_after_its_timeout() {
    let begun = begun_answers(Duration::from_millis(50), MAX_CONCURRENT_ANSWERS + 8).await;
    assert_eq!(begun, MAX_CONCURRENT_ANSWERS + 8);
}
