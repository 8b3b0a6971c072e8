package io.mimosatrail.daemon.entry.front

/** Converts text to token ids and back. */
internal interface Tokenizer {
    fun encode(text: String): List<Int>

    /** Text of one token. The text of a response is the concatenation of the texts of its tokens. */
    fun decode(token: Int): String
}

/** Encodes each byte of the UTF-8 text as one token, for models with a byte vocabulary. */
internal object ByteTokenizer : Tokenizer {
    private const val BYTE_MASK = 0xff

    override fun encode(text: String): List<Int> = text.toByteArray().map { it.toInt() and BYTE_MASK }

    override fun decode(token: Int): String = token.toChar().toString()
}
