
ss