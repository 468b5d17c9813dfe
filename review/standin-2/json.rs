//! A small reader of JSON, and base64 for values of the store.

use std::collections::BTreeMap;

#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &[u8]) -> Option<Json> {
        let mut reader = Reader { text, at: 0 };
        let value = reader.value()?;
        reader.blanks();
        (reader.at == text.len()).then_some(value)
    }

    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Table(fields) => fields.get(name).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(items) => items,
            _ => &[],
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> Option<u64> {
        match self {
            Json::Number(number) => Some(*number as u64),
            _ => None,
        }
    }
}

struct Reader<'a> {
    text: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn blanks(&mut self) {
        while self.text.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn next(&mut self) -> Option<u8> {
        self.blanks();
        let byte = *self.text.get(self.at)?;
        self.at += 1;
        Some(byte)
    }

    fn peek(&mut self) -> Option<u8> {
        self.blanks();
        self.text.get(self.at).copied()
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        self.text[self.at..].starts_with(word.as_bytes()).then(|| {
            self.at += word.len();
            value
        })
    }

    fn value(&mut self) -> Option<Json> {
        match self.peek()? {
            b'{' => self.table(),
            b'[' => self.items(),
            b'"' => self.string().map(Json::Text),
            b'n' => self.word("null", Json::Null),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            _ => self.figure(),
        }
    }

    fn table(&mut self) -> Option<Json> {
        self.next();
        let mut fields = BTreeMap::new();
        if self.peek()? == b'}' {
            self.next();
            return Some(Json::Table(fields));
        }
        loop {
            self.blanks();
            let name = self.string()?;
            if self.next()? != b':' {
                return None;
            }
            fields.insert(name, self.value()?);
            match self.next()? {
                b',' => {}
                b'}' => return Some(Json::Table(fields)),
                _ => return None,
            }
        }
    }

    fn items(&mut self) -> Option<Json> {
        self.next();
        let mut items = Vec::new();
        if self.peek()? == b']' {
            self.next();
            return Some(Json::List(items));
        }
        loop {
            items.push(self.value()?);
            match self.next()? {
                b',' => {}
                b']' => return Some(Json::List(items)),
                _ => return None,
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        if *self.text.get(self.at)? != b'"' {
            return None;
        }
        self.at += 1;
        let mut bytes = Vec::new();
        loop {
            let byte = *self.text.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let escaped = *self.text.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        b'n' => bytes.push(b'\n'),
                        b't' => bytes.push(b'\t'),
                        b'r' => bytes.push(b'\r'),
                        b'u' => {
                            let digits = std::str::from_utf8(self.text.get(self.at..self.at + 4)?).ok()?;
                            self.at += 4;
                            let code = u32::from_str_radix(digits, 16).ok()?;
                            let mut buffer = [0; 4];
                            bytes.extend(char::from_u32(code)?.encode_utf8(&mut buffer).bytes());
                        }
                        other => bytes.push(other),
                    }
                }
                other => bytes.push(other),
            }
        }
    }

    fn figure(&mut self) -> Option<Json> {
        let begin = self.at;
        while self
            .text
            .get(self.at)
            .is_some_and(|byte| byte.is_ascii_digit() || b"+-.eE".contains(byte))
        {
            self.at += 1;
        }
        let text = std::str::from_utf8(&self.text[begin..self.at]).ok()?;
        text.parse().ok().map(Json::Number)
    }
}

const SIGNS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Returns bytes in standard base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0u8; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from(group[0]) << 16 | u32::from(group[1]) << 8 | u32::from(group[2]);
        for place in 0..4 {
            if place <= chunk.len() {
                text.push(SIGNS[(bits >> (18 - 6 * place) & 63) as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

/// Returns the bytes of a text in base64; signs of other alphabets are left out.
pub fn unbase64(text: &str) -> Vec<u8> {
    let places = text.bytes().filter_map(|sign| SIGNS.iter().position(|known| *known == sign));
    let places: Vec<u32> = places.map(|place| place as u32).collect();
    let mut bytes = Vec::new();
    for group in places.chunks(4) {
        let bits = group.iter().enumerate().fold(0, |bits, (index, place)| bits | place << (18 - 6 * index));
        for index in 0..group.len().saturating_sub(1) {
            bytes.push((bits >> (16 - 8 * index)) as u8);
        }
    }
    bytes
}
