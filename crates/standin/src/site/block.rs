//! A block of loopback addresses and a port range that no other process uses.

use std::{
    io,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
};

use anyhow::bail;
use rand::Rng;

const TRIES: u32 = 50;
const HOSTS: u32 = 1_000;
/// Below the range from which the kernel takes ports for outgoing connections.
const PORTS: std::ops::Range<u16> = 12_000..30_000;

/// A block of addresses `127.A.B.C`, one for each VM.
#[derive(Clone, Debug)]
pub struct Block {
    base: u32,
    next: u32,
    port: u16,
}

impl Block {
    /// A free block, found by binding at random places.
    pub fn new() -> anyhow::Result<Block> {
        let mut rng = rand::rng();
        for _ in 0..TRIES {
            let (a, b) = (rng.random_range(16..250_u8), rng.random_range(0..250_u8) & 0xfc);
            let base = u32::from(Ipv4Addr::new(127, a, b, 0));
            let block = Block { base, next: 1, port: rng.random_range(PORTS) };
            if block.probe().is_ok() {
                return Ok(block);
            }
        }
        bail!("find a block of loopback addresses: none free in {TRIES} tries")
    }

    /// The next address that was not given out.
    pub fn host(&mut self) -> anyhow::Result<IpAddr> {
        while self.next < HOSTS {
            let ip = Ipv4Addr::from(self.base + self.next);
            self.next += 1;
            if !matches!(ip.octets()[3], 0 | 255) {
                return Ok(IpAddr::V4(ip));
            }
        }
        bail!("find a loopback address: all {HOSTS} of the block are in use")
    }

    /// The block's port with this number.
    pub fn port(&self, number: u16) -> u16 {
        self.port + number
    }

    fn probe(&self) -> io::Result<()> {
        for last in [1, 2, 3] {
            let ip = IpAddr::V4(Ipv4Addr::from(self.base + last));
            let address = SocketAddr::new(ip, self.port);
            UdpSocket::bind(address)?;
            TcpListener::bind(address)?;
        }
        Ok(())
    }
}
