//! Allocates a block of free loopback addresses and ports.

use std::{
    io,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
};

use anyhow::bail;
use rand::Rng;

const MAX_TRIES: u32 = 50;
const MAX_HOSTS: u32 = 1_000;
/// Below the kernel's ephemeral port range.
const BASE_PORTS: std::ops::Range<u16> = 12_000..30_000;

/// A block of addresses `127.A.B.C`, one per VM.
#[derive(Clone, Debug)]
pub struct AddressBlock {
    base: u32,
    next_host: u32,
    port: u16,
}

impl AddressBlock {
    /// Finds a free block by binding at random addresses; fails if none is free.
    pub fn new() -> anyhow::Result<AddressBlock> {
        let mut rng = rand::rng();
        for _ in 0..MAX_TRIES {
            let (a, b) = (rng.random_range(16..250_u8), rng.random_range(0..250_u8) & 0xfc);
            let base = u32::from(Ipv4Addr::new(127, a, b, 0));
            let block = AddressBlock { base, next_host: 1, port: rng.random_range(BASE_PORTS) };
            if block.probe().is_ok() {
                return Ok(block);
            }
        }
        bail!("find a block of loopback addresses: none free after {MAX_TRIES} tries")
    }

    /// Allocates the next address; fails when the block is exhausted.
    pub fn host(&mut self) -> anyhow::Result<IpAddr> {
        while self.next_host < MAX_HOSTS {
            let ip = Ipv4Addr::from(self.base + self.next_host);
            self.next_host += 1;
            if !matches!(ip.octets()[3], 0 | 255) {
                return Ok(IpAddr::V4(ip));
            }
        }
        bail!("find a loopback address: all {MAX_HOSTS} of the block are in use")
    }

    /// Port of the block at this offset.
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
