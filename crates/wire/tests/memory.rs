//! What decoders count as in use, and messages that are discarded while they arrive.
use bytes::Bytes;
use harestage_wire::client::{self, FromClient};
use harestage_wire::memory::MemoryCounter;
use harestage_wire::node::{self, ToNode};
use harestage_wire::resp::{Bounds, DecodeError, Decoder, LINE_END, encode_head};

const BOUNDS: Bounds = Bounds { max_items: 8, max_item_bytes: 48_000, initial_item_capacity: 16 };

fn array(items: &[&[u8]]) -> Vec<u8> {
    let (last, first) = items.split_last().unwrap();
    [&encode_head(first, last.len()), *last, LINE_END].concat()
}

fn feed(decoder: &mut Decoder, mut bytes: &[u8]) -> Vec<Vec<Bytes>> {
    let mut found = Vec::new();
    loop {
        while let Some(items) = decoder.next_message().unwrap() {
            found.push(items);
        }
        if bytes.is_empty() {
            return found;
        }
        let buffer = decoder.read_buffer();
        let length = buffer.len().min(bytes.len());
        buffer[..length].copy_from_slice(&bytes[..length]);
        decoder.commit(length);
        bytes = &bytes[length..];
    }
}

#[test]
fn memory_is_counted_from_the_first_byte_until_the_last_slice_is_dropped() {
    let counter = MemoryCounter::default();
    let mut decoder = Decoder::with_counter(BOUNDS, 64, counter.clone());
    assert_eq!(counter.used(), 0, "a decoder without input holds nothing");
    let text = array(&[b"ASK", &[b'x'; 40_000]]);
    assert!(feed(&mut decoder, &text[..30_000]).is_empty());
    assert!((29_000..=41_000).contains(&counter.used()), "{}", counter.used());
    let items = feed(&mut decoder, &text[30_000..]).remove(0);
    let slice = items[1].slice(10..12);
    drop(items);
    assert!(counter.used() >= 40_000, "a slice keeps the item");
    drop(slice);
    assert_eq!(counter.used(), 0);
}

#[test]
fn a_message_discarded_at_any_byte_keeps_its_short_items_and_those_after_it() {
    let (long, next) = ([b'x'; 300], array(&[b"STATUS", b"8", b""]));
    let first = array(&[b"ASK", b"7", &long, b"short", &long]);
    for split in 0..first.len() {
        let counter = MemoryCounter::default();
        let mut decoder = Decoder::with_counter(BOUNDS, 64, counter.clone());
        assert!(feed(&mut decoder, &first[..split]).is_empty());
        decoder.discard_message();
        let held = decoder.held_bytes();
        assert!(held < 200, "{held} bytes are still held after {split}");
        // Nothing is discarded before the message's number of items is known.
        let discarded = split >= 4;
        let mut found = feed(&mut decoder, &first[split..]);
        assert_eq!((found.len(), decoder.was_discarded()), (1, discarded), "after {split}");
        let items = found.remove(0);
        let kept = if discarded { &b""[..] } else { &long[..] };
        assert_eq!((&items[0][..], &items[1][..], &items[3][..]), (&b"ASK"[..], &b"7"[..], &b"short"[..]));
        assert_eq!((&items[2][..], &items[4][..]), (kept, kept), "after {split}");
        assert_eq!(feed(&mut decoder, &next), [[&b"STATUS"[..], b"8", b""]]);
        assert!(!decoder.was_discarded());
    }
}

#[test]
fn the_items_of_one_message_share_a_limit() {
    let mut decoder = Decoder::new(BOUNDS, 200_000);
    let text = array(&[&[b'x'; 48_000], &[b'x'; 48_000], b"y"]);
    decoder.read_buffer()[..text.len()].copy_from_slice(&text);
    decoder.commit(text.len());
    assert_eq!(decoder.next_message(), Err(DecodeError::MessageTooLong));
}

#[test]
fn a_download_does_not_keep_its_field_list_in_memory() {
    let counter = MemoryCounter::default();
    let mut decoder = Decoder::with_counter(BOUNDS, 64, counter.clone());
    let fields = format!("i={0:016x},d=9,o={0:016x},known=ab,k=cd,a={1}", 5, "1".repeat(40_000));
    let mut found = feed(&mut decoder, &array(&[b"ASK", b"7", b"clip", fields.as_bytes(), b"body"]));
    let decoded = client::decode(found.remove(0));
    let Ok(FromClient::Download { request, .. }) = &decoded else { panic!("{decoded:?}") };
    assert_eq!(request.known_digest.as_deref(), Some(&b"ab"[..]));
    assert_eq!(request.dedup_key.as_deref(), Some(&b"cd"[..]));
    assert_eq!(counter.used(), 0);
}

#[test]
fn a_download_with_very_many_fields_is_invalid() {
    let decode = |more: usize| {
        let fields = format!("i={0:016x},d=9,o={0:016x}{1}", 5, ",a=1".repeat(more));
        client::decode(
            [&b"ASK"[..], b"7", b"clip", fields.as_bytes(), b""].map(Bytes::copy_from_slice).into(),
        )
    };
    assert!(matches!(decode(61), Ok(FromClient::Download { tag: 7, .. })));
    assert!(matches!(decode(62), Ok(FromClient::Invalid { tag: 7, .. })));
}

#[test]
fn what_a_hub_keeps_of_a_message_does_not_keep_its_field_list_in_memory() {
    let counter = MemoryCounter::default();
    let mut decoder = Decoder::with_counter(BOUNDS, 64, counter.clone());
    let many = ",a=1".repeat(10_000);
    let asked = format!("kind=clip,obj={:016x},seg=0,ms=9,parent=s-1,got=ab{many}", 5);
    let id = b"0000000000000005";
    let mut found = feed(&mut decoder, &array(&[b"serve", id, asked.as_bytes(), b""]));
    let request = node::decode_message(&found.remove(0));
    assert!(matches!(request, Some(ToNode::Serve(_))), "{request:?}");
    let fields = format!("digest=ab,dated=7{many}");
    let mut found = feed(&mut decoder, &array(&[id, b"ACK", fields.as_bytes(), b""]));
    let copy = node::decode_copy_tag(&found.remove(0)).unwrap();
    assert_eq!((&copy.digest[..], counter.used()), (&b"ab"[..], 0));
}
