package review;
import java.io.*; import java.net.*; import java.nio.charset.StandardCharsets; import java.nio.file.*; import java.util.*; import java.util.concurrent.*; import java.util.concurrent.atomic.*;
public final class Fuzz {
    static final int EVENTS = 20;
    static Journal j; static Map<String,Integer> runs = new ConcurrentHashMap<>(); static Map<String,List<String>> hist = new ConcurrentHashMap<>();
    static Map<String,Integer> bad = new ConcurrentSkipListMap<>(); static Map<String,Integer> tally = new ConcurrentSkipListMap<>(); static Map<String,Integer> faults = new ConcurrentSkipListMap<>();
    static double P = 0.15; static boolean big = false;
    static void note(String id, String s) { hist.computeIfAbsent(id, k -> Collections.synchronizedList(new ArrayList<>())).add(j.millis()+" "+s); }
    static void bad(String rule, String id, String why) { bad.merge(rule,1,Integer::sum); j.say(rule+" "+id+": "+why+"\n    "+String.join("\n    ", hist.getOrDefault(id, List.of()))); }
    static String reqBody(String id) { return ("report "+id+" ").repeat(1 + Math.abs(id.hashCode()) % 50); }
    static byte[] l1(String s) { return s.getBytes(StandardCharsets.ISO_8859_1); }
    static final class R {
        final String id; final ServerSocket ls; final Random rnd;
        R(String id, Store st, int seed) throws IOException { this.id = id; rnd = new Random(seed); ls = new ServerSocket(0,200,InetAddress.getLoopbackAddress()); long born=System.currentTimeMillis();
            Threads.daemon(id).newThread(() -> { for (long s=1;;s++) { st.put("servers/"+id, Manifests.runner("127.0.0.1:"+ls.getLocalPort(),"lulea",40,born,s)); sl(1200);} }).start();
            Threads.daemon(id).newThread(() -> { while (true) try { Socket k = ls.accept(); k.setTcpNoDelay(true); long sd; synchronized(rnd){sd=rnd.nextLong();} Threads.daemon(id).newThread(() -> serve(k,new Random(sd))).start(); } catch (IOException e) { return; } }).start(); }
        String f(Random r, String... o) { String c = o[r.nextInt(o.length)]; return c; }
        void out(OutputStream o, Random r, byte[] b, boolean frag) throws IOException { int p=0; while (p<b.length) { int n = frag ? Math.min(b.length-p, 1+r.nextInt(Math.max(1, b.length/3+1))) : b.length-p; o.write(b,p,n); o.flush(); p+=n; if (frag && p<b.length) sl(r.nextInt(8)); } }
        void serve(Socket k, Random r) {
            try (k) { InputStream in = new BufferedInputStream(k.getInputStream()); OutputStream o = k.getOutputStream(); byte[] prev = null; k.setSoTimeout(10000);
                while (true) {
                    Http.Head h = Http.readHead(in); if (h == null) return;
                    byte[] body = h.field("content-length").isEmpty() ? new byte[0] : Http.readBody(in,h);
                    String q = h.field("X-Mimosatrail-Attempt-Id");
                    if (q.isEmpty()) { o.write(l1("HTTP/1.1 200 OK\r\nX-Mimosatrail-Instance-Id: "+id+"\r\nContent-Length: 0\r\n\r\n")); continue; }
                    if (!h.field("X-Mimosatrail-Expected-Instance").equals(id)) { o.write(l1("HTTP/1.1 421 Misdirected Request\r\nX-Mimosatrail-Attempt-Id: "+q+"\r\nContent-Length: 0\r\n\r\n")); continue; }
                    if (!new String(body).equals(reqBody(q)) || !h.line().contains("/x?q="+q+" ") || !h.field("X-Mimosatrail-Tenant").equals("crews") || !h.field("authorization").isEmpty()) bad("UNASKED", q, h.line()+" "+h.fields()+" "+body.length);
                    boolean stream = h.line().contains("/brief/") || h.line().contains("/once/");
                    String fault = r.nextDouble() < P ? f(r,"reset-before","reset-mid","fin-mid","refuse","refuse","copy","copy-late","own-500","foreign-first","silent","close-header","garbage","misdirect","half-head","interim","close-after","stall","wrong-seal","fin-before","copy-twice") : "none";
                    if (!fault.equals("none")) faults.merge(fault,1,Integer::sum);
                    note(q, id+" "+h.line().split(" ")[1]+" fault "+fault+" last "+h.field("last-event-id"));
                    String ids = "X-Mimosatrail-Attempt-Id: "+q+"\r\n";
                    if (fault.equals("refuse")) { byte[] a = l1("HTTP/1.1 503 Service Unavailable\r\nX-Mimosatrail-Not-Executed: 1\r\n"+ids+"Content-Length: 0\r\n\r\n"); out(o,r,a,r.nextBoolean()); if (r.nextInt(3)==0) { sl(r.nextInt(30)); out(o,r,a,false);} prev=a; continue; }
                    if (fault.equals("misdirect")) { out(o,r,l1("HTTP/1.1 421 Misdirected Request\r\n"+ids+"Content-Length: 0\r\n\r\n"),false); continue; }
                    runs.merge(q,1,Integer::sum);
                    sl(r.nextInt(30));
                    if (fault.equals("reset-before")) { k.setSoLinger(true,0); return; }
                    if (fault.equals("fin-before")) return;
                    if (fault.equals("silent")) { sl(6000); return; }
                    if (fault.equals("garbage")) { out(o,r,l1("%%% no answer %%%\r\n\r\nxxxx"),false); sl(5); return; }
                    if (fault.equals("foreign-first") && prev != null) out(o,r,prev,false);
                    if (fault.equals("interim")) out(o,r,l1("HTTP/1.1 100 Continue\r\n\r\n"),false);
                    int status = fault.equals("own-500") ? 500 : 200;
                    String framing = f(r,"length","length","chunked","unframed");
                    String seal = fault.equals("wrong-seal") ? "" : "X-Mimosatrail-Runner-Seal: "+id+"."+q+"."+status+"\r\n";
                    if (fault.equals("wrong-seal")) status = 200;
                    ByteArrayOutputStream content = new ByteArrayOutputStream(); List<byte[]> parts = new ArrayList<>();
                    if (stream && status==200) { int from = h.field("last-event-id").isEmpty()?0:Integer.parseInt(h.field("last-event-id")); for (int e=from+1;e<=EVENTS;e++) parts.add(l1((r.nextInt(6)==0?": ping\n\n":"")+"id: "+e+"\ndata: "+q+" "+e+"\n\n")); }
                    else { int len = big && r.nextInt(5)==0 ? 700_000 : 100+r.nextInt(3000); String s = q+"|"+id+"|"+len+"|"; s += "y".repeat(len-s.length()-4)+"|end"; parts.add(l1(s)); }
                    String type = stream && status==200 ? "Content-Type: text/event-stream\r\n" : "Content-Type: text/plain\r\n";
                    int total = 0; for (byte[] p : parts) total += p.length;
                    boolean close = framing.equals("unframed") || fault.equals("close-header");
                    String head = "HTTP/1.1 "+status+" X\r\n"+type+ids+seal+(close?"Connection: close\r\n":"Keep-Alive: timeout=8\r\n")+(framing.equals("length")?"Content-Length: "+total+"\r\n":framing.equals("chunked")?"Transfer-Encoding: chunked\r\n":"")+"\r\n";
                    if (fault.equals("half-head")) { out(o,r,l1(head.substring(0,r.nextInt(head.length()-1))),true); if (r.nextBoolean()) k.setSoLinger(true,0); return; }
                    boolean cutMid = fault.endsWith("-mid"); if (fault.equals("fin-mid") && framing.equals("unframed")) { fault = "reset-mid"; }
                    ByteArrayOutputStream all = new ByteArrayOutputStream(); all.write(l1(head));
                    out(o,r,l1(head),r.nextInt(4)==0);
                    int cutAt = cutMid ? r.nextInt(total) : Integer.MAX_VALUE; int sent=0; boolean frag = r.nextInt(3)==0; int stallAt = fault.equals("stall") ? r.nextInt(parts.size()) : -1;
                    for (int i=0;i<parts.size();i++) { byte[] p = parts.get(i); boolean cut = sent + p.length > cutAt; byte[] w = cut ? Arrays.copyOf(p, cutAt-sent) : p; byte[] z = framing.equals("chunked") ? cat(l1(Integer.toHexString(p.length)+"\r\n"), w, cut?new byte[0]:l1("\r\n")) : w; if (i==stallAt) sl(800+r.nextInt(2500)); out(o,r,z,frag&&r.nextInt(3)==0); all.write(z); sent+=p.length; if (cut) { if (r.nextBoolean()) sl(r.nextInt(40)); if (fault.equals("reset-mid")) k.setSoLinger(true,0); return; } if (stream) sl(r.nextInt(12)); }
                    if (framing.equals("chunked")) { out(o,r,l1("0\r\n\r\n"),false); all.write(l1("0\r\n\r\n")); }
                    prev = all.toByteArray();
                    if (close) return;
                    if (fault.equals("copy")) out(o,r,prev,false);
                    if (fault.equals("copy-twice")) { out(o,r,prev,false); sl(r.nextInt(20)); out(o,r,prev,false); }
                    if (fault.equals("copy-late")) { sl(r.nextInt(150)); out(o,r,prev,r.nextBoolean()); }
                    if (fault.equals("close-after")) { if (r.nextBoolean()) k.setSoLinger(true,0); return; }
                }
            } catch (IOException e) { }
        }
    }
    static byte[] cat(byte[]... a) { ByteArrayOutputStream b = new ByteArrayOutputStream(); for (byte[] x : a) b.writeBytes(x); return b.toByteArray(); }
    static void sl(long ms) { try { Thread.sleep(Math.max(0,ms)); } catch (InterruptedException e) { } }
    static volatile boolean stop = false;
    static void client(int n, int port, long until, Random r) {
        Socket s = null; InputStream in = null; int c = 0;
        while (j.millis() < until && !stop) {
            String id = String.format("%02x%05x", n, c++); String kind = new String[]{"defects","lookup","brief","once"}[r.nextInt(4)];
            boolean idem = kind.equals("lookup")||kind.equals("brief");
            String res = "none"; boolean leave = r.nextInt(25)==0; int ms = kind.equals("brief")||kind.equals("once") ? 6000 : 2500;
            try {
                if (s == null) { s = new Socket(InetAddress.getLoopbackAddress(), port); s.setTcpNoDelay(true); if (r.nextInt(6)==0) s.setReceiveBufferSize(4096); in = new BufferedInputStream(s.getInputStream()); }
                s.setSoTimeout(ms+1500);
                String b = reqBody(id); boolean chunk = r.nextInt(4)==0;
                String head = "POST /"+kind+"/x?q="+id+" HTTP/1.1\r\nHost: "+Manifests.HOST+"\r\nX-Mimosatrail-Attempt-Id: "+id+"\r\nX-Mimosatrail-Deadline-Remaining: "+ms+"\r\nX-Mimosatrail-Tenant: evil\r\nAuthorization: Bearer "+Manifests.KEY+"\r\n"+(chunk?"Transfer-Encoding: chunked":"Content-Length: "+b.length())+"\r\n\r\n";
                byte[] w = chunk ? cat(l1(head), l1(Integer.toHexString(b.length())+"\r\n"+b+"\r\n0\r\n\r\n")) : l1(head+b);
                if (r.nextInt(5)==0) { int cut=1+r.nextInt(w.length-1); s.getOutputStream().write(w,0,cut); sl(r.nextInt(30)); s.getOutputStream().write(w,cut,w.length-cut); } else s.getOutputStream().write(w);
                if (leave) { sl(r.nextInt(60)); s.close(); s = null; res="left"; tally.merge(kind+" left",1,Integer::sum); continue; }
                Http.Head h = Http.readHead(in); if (h == null) throw new EOFException("closed");
                int st = h.status(); byte[] body; boolean whole = true; 
                try { body = r.nextInt(20)==0 ? slow(in,h) : Http.readBody(in,h); } catch (IOException e) { whole=false; body=null; throw e; }
                String t = new String(body, StandardCharsets.ISO_8859_1); res = ""+st;
                note(id, "answered "+st+" "+body.length+" "+h.fields());
                String seal = h.field("X-Mimosatrail-Runner-Seal");
                if (!h.field("X-Mimosatrail-Attempt-Id").isEmpty() && !h.field("X-Mimosatrail-Attempt-Id").equals(id)) bad("MIXED",id,"foreign id");
                if (st==200) {
                    if (seal.isEmpty() || !seal.contains("."+id+".") || !seal.endsWith(".200")) bad("MIXED",id,"seal "+seal);
                    if (kind.equals("brief")||kind.equals("once")) check(id,t); else { String[] p = t.split("\\|"); if (p.length!=5 || !p[0].equals(id) || Integer.parseInt(p[2])!=t.length() || !p[4].equals("end")) bad("MIXED",id,"body "+t.length()+" "+t.substring(0,Math.min(60,t.length()))); }
                } else { if (!seal.isEmpty() && !seal.endsWith("."+st)) bad("MIXED",id,"failure "+st+" with seal "+seal); if (!idem && (st==503||st==429||st==421||st==408) && runs.containsKey(id)) bad("REFUSED",id,"answered "+st); }
                if (h.field("connection").equals("close")) { s.close(); s=null; }
                sl(r.nextInt(20));
            } catch (IOException e) { res = "cut "+e.getMessage(); note(id,res); j.add(id+" "+kind+" "+res+" "+hist.get(id)); try { if (s!=null) s.close(); } catch (IOException x) {} s = null; }
            tally.merge(kind+" "+res.replaceAll("[0-9]+ of [0-9]+","n of n"),1,Integer::sum);
        }
    }
    static byte[] slow(InputStream in, Http.Head h) throws IOException { sl(300); return Http.readBody(in,h); }
    static void check(String id, String t) { int next=1; for (String ev : t.split("\n\n")) { if (ev.isBlank()||ev.startsWith(":")) continue; if (!ev.equals("id: "+next+"\ndata: "+id+" "+next)) { bad("ORDER",id,"event "+next+" is "+ev.replace("\n","\\n")); return; } next++; } if (next!=EVENTS+1) bad("ORDER",id,"complete after "+(next-1)); }
    public static void main(String[] a) throws Exception {
        int seed = Integer.parseInt(a[0]); long secs = Long.parseLong(a[1]); big = a.length>2 && a[2].contains("big"); boolean freeze = a.length>2 && a[2].contains("freeze"); boolean term = a.length>2 && a[2].contains("term"); if (a.length>3) P = Double.parseDouble(a[3]);
        Path tmp = Files.createTempDirectory("review"); j = new Journal(Path.of("/tmp/fuzz-"+seed+".txt")); Store store = new Store();
        store.put("op/config", Manifests.manifest(1, Manifests.route("defects","non_idempotent",2500,193,"defects",""), Manifests.route("lookup","idempotent",2500,193,"defects",""), Manifests.route("brief","streaming",6000,500,"defects",",\"Resumable\":true,\"GapTargetMs\":200").replace("\"MaxAttempts\":2","\"MaxAttempts\":3"), Manifests.route("once","streaming",6000,500,"defects",",\"GapTargetMs\":200")));
        Entry e = new Entry("edge-lulea-1","lulea",store.address(),tmp);
        for (int i=0;i<5;i++) new R("i-"+i, store, seed*100+i);
        e.awaitReady(); sl(1500);
        long until = j.millis()+secs*1000; List<Thread> ts = new ArrayList<>();
        for (int i=0;i<24;i++) { int n=i; Thread t = new Thread(() -> client(n,e.front,until,new Random(seed*1000L+n))); t.start(); ts.add(t); }
        if (freeze) { Random r = new Random(seed); while (j.millis()<until-6000) { sl(3000+r.nextInt(2000)); e.signal("STOP"); sl(200+r.nextInt(3500)); e.signal("CONT"); } }
        if (term) { sl(secs*500); e.signal("TERM"); j.say("TERM"); boolean ended = e.awaitEnd(12000); j.say("ended "+ended); stop = true; }
        for (Thread t : ts) t.join();
        Map<String,Integer> twice = new TreeMap<>(); runs.forEach((id,n) -> { if (n>1) { String k = String.join(" ",hist.get(id)); if (k.contains("/defects/")||k.contains("/once/")) bad("TWICE",id,n+" runs"); } });
        j.say("faults "+faults); j.say("tally "+tally); j.say("BAD "+bad); Files.copy(tmp.resolve("edge-lulea-1.log"), Path.of("/tmp/fuzz-"+seed+".log"), StandardCopyOption.REPLACE_EXISTING);
        j.close(); e.close(); System.exit(bad.isEmpty()?0:1);
    }
}
